"""The state machine of the configuration shard: evaluates operators' commands by the applied state only.

A command is accepted if it builds on the current version. Operators retry a command whose response was lost, so the
state contains the digests of accepted commands: a retry is acknowledged again and never rejected.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from ochrespan.common.validation import Finding, ValidationError
from ochrespan.transport import compact
from ochrespan.transport.codec import MessageError, decode

from .change_history import ChangeHistory, make_change_record
from .commands import RESTORE_KIND, ConfigCommand, ConfigCommandKind, RestoreCommand
from .configuration import Configuration, ConfigurationChange, change_of_patch, change_to
from .views import Tenant, tenant_view

MAX_REMEMBERED_COMMANDS = 8192


class CommandOutcome(enum.Enum):
    """The outcome of a command. The values are part of JSON responses to operators."""

    ACCEPTED = "taken"
    ALREADY_ACCEPTED = "taken before"  # a retry of a command whose digest is stored
    VERSION_CONFLICT = "another version is current"
    VERSION_NOT_REACHED = "builds on a version that does not exist yet"  # not a rejection: a copy may be accepted later
    TOO_OLD = "too old to tell whether it was taken"  # may be a retry of a command whose digest was evicted
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The result of a command.

    Attributes:
        outcome: The outcome of the command.
        version: The version that the command created if it was accepted, now or before; the current one otherwise.
        findings: The first faults of an invalid command.
        findings_total: The number of its faults.
        change: The change that the command made; None unless it was accepted now.
    """

    outcome: CommandOutcome
    version: int
    findings: tuple[Finding, ...] = ()
    findings_total: int = 0
    change: ConfigurationChange | None = None


class ConfigurationStateMachine:
    """Applies commands and stores the digests of accepted ones.

    Attributes:
        current: The current configuration.
        history: Records of the latest changes.
    """

    def __init__(self) -> None:
        self.current = Configuration()
        self.history = ChangeHistory()
        self._accepted_versions: dict[bytes, int] = {}  # version by digest, oldest first
        self._last_evicted_version = 0  # the newest version whose command's digest was evicted

    def apply(self, index: int, command: bytes) -> CommandResult:  # noqa: ARG002 - the StateMachine protocol has it
        """Evaluates a committed command, with the same result at every replica."""
        try:
            decoded = decode(command)
        except MessageError as error:
            return self._invalid(Finding(error.where, error.found, error.allowed))
        if isinstance(decoded, RestoreCommand):
            return self._evaluate_restore(decoded)
        if not isinstance(decoded, ConfigCommand):
            return self._invalid(Finding("command", type(decoded).__name__, "an order"))
        return self._evaluate(decoded)

    def backup(self) -> dict[str, Any]:
        """Returns the configuration and the accepted commands as a `documents.BackupDocument`, oldest command first."""
        accepted = [{"digest": digest.hex(), "version": version} for digest, version in self._accepted_versions.items()]
        return {
            "configuration": self.current.document(),
            "accepted_commands": accepted,
            "last_evicted_version": self._last_evicted_version,
        }

    def tenant(self, name: str) -> Tenant | None:
        """Returns a tenant of the current configuration; None if there is none of that name."""
        document = self.current.tenants.get(name)
        return None if document is None else tenant_view(document)

    def snapshot(self) -> bytes:
        """Encodes the complete state."""
        accepted = list(self._accepted_versions.items())
        return compact.pack([self.current.document(), accepted, self.history.fields(), self._last_evicted_version])

    def restore(self, data: bytes) -> None:
        """Replaces the state by that of a snapshot, which may be of an earlier version of the program."""
        document, accepted, *later_fields = compact.unpack(data)  # earlier versions of the program lack the last two
        empty = Configuration()
        self.current = empty.changed_by(change_to(empty, document)) if document["generation"] else empty
        self._accepted_versions = dict(accepted)
        self.history = ChangeHistory(later_fields[0] if later_fields else ())
        self._last_evicted_version = later_fields[1] if len(later_fields) > 1 else 0

    def _evaluate(self, command: ConfigCommand) -> CommandResult:
        if (version := self._accepted_versions.get(command.digest)) is not None:
            return CommandResult(CommandOutcome.ALREADY_ACCEPTED, version)
        if command.builds_on < self._last_evicted_version:
            return CommandResult(CommandOutcome.TOO_OLD, self.current.version)
        if command.builds_on > self.current.version:
            return CommandResult(CommandOutcome.VERSION_NOT_REACHED, self.current.version)
        if command.builds_on < self.current.version:
            return CommandResult(CommandOutcome.VERSION_CONFLICT, self.current.version)
        make_change = change_to if command.kind == ConfigCommandKind.REPLACE else change_of_patch
        change = make_change(self.current, compact.unpack(command.body))
        try:
            self.current = self.current.changed_by(change)
        except ValidationError as error:
            return self._invalid(*error.findings, total=error.total)
        self._remember(command.digest, change.version)
        self.history.add(make_change_record(change, command.builds_on, command.kind, command.received_ms))
        return CommandResult(CommandOutcome.ACCEPTED, change.version, change=change)

    def _evaluate_restore(self, command: RestoreCommand) -> CommandResult:
        """Restores a backup if the cluster has no configuration; otherwise the outcome is a version conflict."""
        if (version := self._accepted_versions.get(command.digest)) is not None:
            return CommandResult(CommandOutcome.ALREADY_ACCEPTED, version)
        if self.current.version:
            return CommandResult(CommandOutcome.VERSION_CONFLICT, self.current.version)
        backup = compact.unpack(command.body)
        change = change_to(self.current, backup["configuration"])
        try:
            self.current = self.current.changed_by(change)
        except ValidationError as error:
            return self._invalid(*error.findings, total=error.total)
        self._last_evicted_version = backup["last_evicted_version"]
        for accepted in backup["accepted_commands"]:
            self._remember(bytes.fromhex(accepted["digest"]), accepted["version"])
        self._remember(command.digest, change.version)
        self.history.add(make_change_record(change, 0, RESTORE_KIND, command.received_ms))
        return CommandResult(CommandOutcome.ACCEPTED, change.version, change=change)

    def _invalid(self, *findings: Finding, total: int = 1) -> CommandResult:
        return CommandResult(CommandOutcome.INVALID, self.current.version, findings, total)

    def _remember(self, digest: bytes, version: int) -> None:
        self._accepted_versions[digest] = version
        if len(self._accepted_versions) > MAX_REMEMBERED_COMMANDS:
            oldest = next(iter(self._accepted_versions))
            self._last_evicted_version = self._accepted_versions.pop(oldest)
