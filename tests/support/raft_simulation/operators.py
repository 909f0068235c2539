"""Operators who send changes of the configuration, race each other, and send an order again until it is answered."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import ormsgpack

from ochrespan.control_plane.config.commands import ConfigCommandKind, encode_command, make_command
from ochrespan.control_plane.config.state_machine import CommandOutcome, CommandResult, ConfigurationStateMachine

from .checks import Violation
from .node import Machine

if TYPE_CHECKING:
    from .world import World

SHARD = 0
ANSWER_TIMEOUT_S = 1.0
PAUSE_S = 0.1


class OrderMachine(Machine):
    """The configuration's state machine among the commands of the simulation."""

    def __init__(self) -> None:
        super().__init__()
        self.configuration = ConfigurationStateMachine()

    def apply(self, index: int, command: str) -> CommandResult | None:
        super().apply(index, command)
        return self.configuration.apply(index, bytes.fromhex(command)) if _is_order(command) else None

    def snapshot(self) -> bytes:
        return ormsgpack.packb([self.commands, self.configuration.snapshot()])

    def restore(self, data: bytes) -> None:
        self.commands, state = ormsgpack.unpackb(data)
        self.configuration.restore(state)


def _is_order(command: str) -> bool:
    return ":" not in command  # the plain commands of the simulation have one


class OrderBook:
    """What the operators were told of their orders; each answer is checked against all before it."""

    def __init__(self) -> None:
        self.confirmed: dict[int, bytes] = {}  # by the version that an order builds on, its digest
        self.refused: set[bytes] = set()
        self.repeats = 0

    def answered(self, digest: bytes, builds_on: int, verdict: CommandResult) -> None:
        if verdict.outcome in (CommandOutcome.ACCEPTED, CommandOutcome.ALREADY_ACCEPTED):
            if digest in self.refused:
                raise Violation("confirmed after a refusal", f"the order on {builds_on}")
            if self.confirmed.setdefault(builds_on, digest) != digest:
                raise Violation("two orders on one version", f"on {builds_on}")
            self.repeats += verdict.outcome is CommandOutcome.ALREADY_ACCEPTED
        elif verdict.outcome is not CommandOutcome.TOO_OLD:
            if self.confirmed.get(builds_on) == digest:
                raise Violation("a repeat refused", f"the order on {builds_on}: {verdict.outcome.value}")
            self.refused.add(digest)

    def at_the_end(self, machine: ConfigurationStateMachine) -> None:
        taken = set(machine._accepted_versions)
        if taken & self.refused:
            raise Violation("a refused order is in force", "at the end")
        if lost := set(self.confirmed.values()) - taken:
            raise Violation("a confirmed order is not in force", f"{len(lost)} at the end")


class Operator:
    """Makes one change after the other on the newest version that it was told of."""

    def __init__(self, world: World, book: OrderBook, name: str) -> None:
        self._world, self._book, self._name = world, book, name
        self.version = 0
        self._made = 0
        self._asked = 0
        self.answers = 0
        world.later(PAUSE_S, None, self._next)

    def _next(self) -> None:
        self._made += 1
        document: dict[str, Any] = {
            "generation": self.version + self._world.random.randint(1, 3),
            "routes": [
                {"name": f"{self._name}{self._made}", "hostname": "h", "path_prefix": f"/{self._made}/", "backend": "s"}
            ],
            "services": [{"name": "s"}],
        }
        order = make_command(ConfigCommandKind.REPLACE, self.version, document)
        self._send(encode_command(order).hex(), order.digest, self.version)

    def _send(self, command: str, digest: bytes, builds_on: int) -> None:
        """To any machine that takes it, and again unchanged after a time without an answer."""
        self._asked += 1
        number = self._asked

        def answer(verdict: CommandResult) -> None:
            if number == self._asked:
                self._answered(digest, builds_on, verdict)

        nodes = self._world.running()
        self._world.random.shuffle(nodes)
        for node in nodes:
            if node.propose(SHARD, command, answer):
                break
        self._world.later(
            ANSWER_TIMEOUT_S if nodes else PAUSE_S,
            None,
            lambda: number == self._asked and self._send(command, digest, builds_on),
        )

    def _answered(self, digest: bytes, builds_on: int, verdict: CommandResult) -> None:
        if self._world.random.random() < self.answers_lost:
            return  # on its way to the operator
        self._asked += 1
        self.answers += 1
        self._book.answered(digest, builds_on, verdict)
        self.version = max(self.version, verdict.version)
        self._world.later(self._world.random.expovariate(1 / PAUSE_S), None, self._next)

    answers_lost = 0.3
