"""Operators who send changes of the configuration, race each other, and retry a command until it has a response.

Some of their commands build on a version that does not exist yet, and copies of commands are delivered late.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import ormsgpack

from ochrespan.control_plane.config.commands import ConfigCommandKind, encode_command, make_command
from ochrespan.control_plane.config.state_machine import CommandOutcome, CommandResult, ConfigurationStateMachine

from .checks import Violation
from .node import Machine

if TYPE_CHECKING:
    from .node import Node
    from .world import World

SHARD = 0
RESPONSE_TIMEOUT_S = 1.0
GAP_S = 0.1
EARLY_CHANCE = 0.2  # that a command builds on a version that the operator expects, but has not seen
LATE_COPY_CHANCE = 0.3  # that a command is delivered a second time
LATE_COPY_S = (0.1, 4.0)  # how much later
OPEN_OUTCOMES = (CommandOutcome.TOO_OLD, CommandOutcome.VERSION_NOT_REACHED)  # neither confirm nor reject a command


class ConfigMachine(Machine):
    """The configuration's state machine among the commands of the simulation."""

    def __init__(self) -> None:
        super().__init__()
        self.configuration = ConfigurationStateMachine()

    def apply(self, index: int, command: str) -> CommandResult | None:
        """Applies a command, to the configuration too where it is one of its commands."""
        super().apply(index, command)
        return self.configuration.apply(index, bytes.fromhex(command)) if _is_config_command(command) else None

    def snapshot(self) -> bytes:
        """All commands and the configuration's state as bytes."""
        return ormsgpack.packb([self.commands, self.configuration.snapshot()])

    def restore(self, data: bytes) -> None:
        """Replaces both by those of a snapshot."""
        self.commands, state = ormsgpack.unpackb(data)
        self.configuration.restore(state)


def _is_config_command(command: str) -> bool:
    return ":" not in command  # the simulation's own commands are `shard:number`


class ResponseLog:
    """The responses that the operators have received; each is checked against all earlier ones."""

    def __init__(self) -> None:
        self.confirmed: dict[int, bytes] = {}  # by the version that a command builds on, its digest
        self.rejected: set[bytes] = set()
        self.retries_confirmed = 0

    def record(self, digest: bytes, builds_on: int, result: CommandResult) -> None:
        """Checks and records a response."""
        if result.outcome in (CommandOutcome.ACCEPTED, CommandOutcome.ALREADY_ACCEPTED):
            if digest in self.rejected:
                raise Violation("confirmed after a rejection", f"the command on {builds_on}")
            if self.confirmed.setdefault(builds_on, digest) != digest:
                raise Violation("two commands on one version", f"on {builds_on}")
            self.retries_confirmed += result.outcome is CommandOutcome.ALREADY_ACCEPTED
        elif result.outcome not in OPEN_OUTCOMES:
            if self.confirmed.get(builds_on) == digest:
                raise Violation("a retry rejected", f"the command on {builds_on}: {result.outcome.value}")
            self.rejected.add(digest)

    def check_final_state(self, machine: ConfigurationStateMachine) -> None:
        """Every confirmed command must be in force, and no rejected one."""
        accepted = set(machine._accepted_versions)  # noqa: SLF001 - not in the public interface
        if accepted & self.rejected:
            raise Violation("a rejected command is in force", "at the end")
        if lost := set(self.confirmed.values()) - accepted:
            raise Violation("a confirmed command is not in force", f"{len(lost)} at the end")


class Operator:
    """Sends one change after the other, most of them on the newest version that a response named."""

    def __init__(self, world: World, log: ResponseLog, name: str) -> None:
        self._world = world
        self._log = log
        self._name = name
        self.version = 0
        self._made = 0
        self._attempts = 0
        self.responses = 0
        world.later(GAP_S, None, self._next)

    def _next(self) -> None:
        self._made += 1
        random = self._world.random
        builds_on = self.version + (random.randint(1, 3) if random.random() < EARLY_CHANCE else 0)
        document: dict[str, Any] = {
            "generation": builds_on + random.randint(1, 3),
            "routes": [
                {"name": f"{self._name}{self._made}", "hostname": "h", "path_prefix": f"/{self._made}/", "backend": "s"}
            ],
            "services": [{"name": "s"}],
        }
        command = make_command(ConfigCommandKind.REPLACE, builds_on, document)
        encoded = encode_command(command).hex()
        if random.random() < LATE_COPY_CHANCE:
            self._world.later(random.uniform(*LATE_COPY_S), None, lambda: self._propose(encoded, lambda _result: None))
        self._send(encoded, command.digest, builds_on)

    def _send(self, command: str, digest: bytes, builds_on: int) -> None:
        """Sends to any machine that accepts it, and again unchanged after a time without a response."""
        self._attempts += 1
        number = self._attempts

        def respond(result: CommandResult) -> None:
            if number == self._attempts:
                self._responded(digest, builds_on, result)

        nodes = self._propose(command, respond)
        self._world.later(
            RESPONSE_TIMEOUT_S if nodes else GAP_S,
            None,
            lambda: number == self._attempts and self._send(command, digest, builds_on),
        )

    def _propose(self, command: str, respond: Callable[[CommandResult], None]) -> list[Node]:
        """Proposes a command to the first machine that accepts it; returns the machines that ran."""
        nodes = self._world.running()
        self._world.random.shuffle(nodes)
        for node in nodes:
            if node.propose(SHARD, command, respond):
                break
        return nodes

    def _responded(self, digest: bytes, builds_on: int, result: CommandResult) -> None:
        if self._world.random.random() < self.responses_lost:
            return  # the response is lost on its way to the operator
        self._attempts += 1
        self.responses += 1
        self._log.record(digest, builds_on, result)
        self.version = max(self.version, result.version)
        self._world.later(self._world.random.expovariate(1 / GAP_S), None, self._next)

    responses_lost = 0.3
