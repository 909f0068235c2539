"""The state machine of the configuration's shard: judges the operator's orders from the applied state alone."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from ochrespan.common.validation import Finding, ValidationError
from ochrespan.transport import compact
from ochrespan.transport.codec import MessageError, decode

from .change_history import ChangeHistory, record_of_change
from .commands import ConfigCommand, ConfigCommandKind
from .configuration import Configuration, ConfigurationChange, change_of_patch, change_to
from .views import Tenant, tenant_view

MAX_REMEMBERED_COMMANDS = 8192


class CommandOutcome(enum.Enum):
    """What became of an order."""

    TAKEN = "taken"
    TAKEN_BEFORE = "taken before"
    OTHER_VERSION = "another version is current"
    FORGOTTEN = "too old to tell whether it was taken"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The judgement of an order; `version` is the one it made, or else the current one."""

    judgement: CommandOutcome
    version: int
    findings: tuple[Finding, ...] = ()
    change: ConfigurationChange | None = None


class ConfigurationStateMachine:
    """Applies orders one after the other and remembers those that were taken, so that none is refused later."""

    def __init__(self) -> None:
        self.current = Configuration()
        self.history = ChangeHistory()
        self._taken: dict[bytes, int] = {}  # version by digest, oldest first
        self._forgotten_version = 0  # the newest one whose order is no longer remembered

    def apply(self, index: int, command: bytes) -> CommandResult:
        """The verdict on an order, the same at every replica."""
        try:
            order = decode(command)
        except MessageError as error:
            return self._refuse(Finding(error.where, error.found, error.allowed))
        if not isinstance(order, ConfigCommand):
            return self._refuse(Finding("command", type(order).__name__, "an order"))
        return self._judge(order)

    def tenant(self, name: str) -> Tenant | None:
        """A tenant of the current configuration."""
        document = self.current.tenants.get(name)
        return None if document is None else tenant_view(document)

    def snapshot(self) -> bytes:
        """The whole state, compressed."""
        taken = list(self._taken.items())
        return compact.pack([self.current.document(), taken, self.history.fields(), self._forgotten_version])

    def restore(self, data: bytes) -> None:
        """Takes over the state of a snapshot."""
        document, taken, *rest = compact.unpack(data)  # snapshots of earlier versions lack the others
        empty = Configuration()
        self.current = empty.changed_by(change_to(empty, document)) if document["generation"] else empty
        self._taken = dict(taken)
        self.history = ChangeHistory(rest[0] if rest else ())
        self._forgotten_version = rest[1] if len(rest) > 1 else 0

    def _judge(self, order: ConfigCommand) -> CommandResult:
        if (version := self._taken.get(order.digest)) is not None:
            return CommandResult(CommandOutcome.TAKEN_BEFORE, version)
        if order.builds_on < self._forgotten_version:
            return CommandResult(CommandOutcome.FORGOTTEN, self.current.version)
        if order.builds_on != self.current.version:
            return CommandResult(CommandOutcome.OTHER_VERSION, self.current.version)
        make_change = change_to if order.kind == ConfigCommandKind.WHOLE else change_of_patch
        change = make_change(self.current, compact.unpack(order.body))
        try:
            self.current = self.current.changed_by(change)
        except ValidationError as error:
            return self._refuse(*error.findings)
        self._remember(order.digest, change.version)
        self.history.add(record_of_change(change, order.builds_on, order.kind, order.received_ms))
        return CommandResult(CommandOutcome.TAKEN, change.version, change=change)

    def _refuse(self, *findings: Finding) -> CommandResult:
        return CommandResult(CommandOutcome.INVALID, self.current.version, findings)

    def _remember(self, digest: bytes, version: int) -> None:
        self._taken[digest] = version
        if len(self._taken) > MAX_REMEMBERED_COMMANDS:
            self._forgotten_version = self._taken.pop(next(iter(self._taken)))
