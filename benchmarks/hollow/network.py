"""A model network on a virtual clock: events in the order of their time, messages with a delay and some loss."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ochrespan.coordination.addresses import Address

Action = Callable[[], Any]


class Receiver(Protocol):
    """A process on the network."""

    def receive(self, peer: Address, data: bytes) -> None:
        """Takes a message that has arrived."""


@dataclass(slots=True)
class Traffic:
    """What one process has sent and received."""

    messages_out: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    bytes_in: int = 0

    @property
    def bytes_both(self) -> int:
        """Bytes in and out."""
        return self.bytes_in + self.bytes_out


class ModelNetwork:
    """Carries bytes between processes; `now` is the virtual time in seconds."""

    def __init__(self, source: random.Random, delay_s: float = 0.0006, jitter_s: float = 0.0004, loss: float = 0.0):
        self.now = 0.0
        self.traffic: dict[Address, Traffic] = {}
        self._receivers: dict[Address, Receiver] = {}
        self._random = source
        self._delay_s = delay_s
        self._jitter_s = jitter_s
        self._loss = loss
        self._order = itertools.count()
        self._events: list[tuple[float, int, Action]] = []

    def attach(self, address: Address, receiver: Receiver) -> None:
        """A process begins to take messages at an address."""
        self._receivers[address] = receiver
        self.traffic.setdefault(address, Traffic())

    def detach(self, address: Address) -> None:
        """The process at the address has ended: what is sent there is lost without a word."""
        self._receivers.pop(address, None)

    def at(self, when: float, action: Action) -> None:
        """Runs `action` at a time."""
        heapq.heappush(self._events, (max(when, self.now), next(self._order), action))

    def send(self, sender: Address, target: Address, data: bytes) -> None:
        """Sends one message, which may be lost."""
        traffic = self.traffic[sender]
        traffic.messages_out += 1
        traffic.bytes_out += len(data)
        if self._random.random() < self._loss:
            return
        arrives = self.now + self._delay_s + self._random.random() * self._jitter_s
        self.at(arrives, lambda: self._deliver(sender, target, data))

    def run(self, until: float) -> None:
        """Runs the events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def run_while(self, condition: Callable[[], bool], until: float, step_s: float = 0.02) -> bool:
        """Runs in steps while the condition holds; false where it still held at `until`."""
        while condition():
            if self.now >= until:
                return False
            self.run(self.now + step_s)
        return True

    def forget_traffic(self) -> None:
        """Begins to count anew."""
        for address in self.traffic:
            self.traffic[address] = Traffic()

    def _deliver(self, sender: Address, target: Address, data: bytes) -> None:
        receiver = self._receivers.get(target)
        if receiver is None:
            return
        traffic = self.traffic[target]
        traffic.messages_in += 1
        traffic.bytes_in += len(data)
        receiver.receive(sender, data)
