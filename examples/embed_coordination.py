"""Three replicas of a small register, built on `ochrespan.coordination` alone: no sockets, no disk, no clock.

    python examples/embed_coordination.py

The library decides; its user moves the bytes. Here messages go over lists, what should be durable is taken as written
at once, and time is a number. A program of yours puts its own transport, disk and steady clock there; the replica
host in `ochrespan/control_plane/replica_host.py` is one that does.
"""

from __future__ import annotations

import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from ochrespan.raft.bootstrap import BootstrapSettings
from ochrespan.raft.messages import EntryKind
from ochrespan.raft.multi_raft import MultiRaft, RecoveredState

GROUP = 0
TICK_S = 0.06
SEEDS = tuple((f"10.0.0.{number}", 7500) for number in (1, 2, 3))


class Register:
    """The state machine: it keeps the last command."""

    value = b"nothing"


class Replicas:
    """Three processes, as far as this example needs them."""

    def __init__(self) -> None:
        self.now = 0.0
        chance = random.Random(1)
        self.registers = {seed: Register() for seed in SEEDS}
        self.tables = {}
        for seed in SEEDS:
            settings = BootstrapSettings(seed, SEEDS, bootstrap=True, fault_tolerance=1)
            self.tables[seed] = MultiRaft(settings, RecoveredState.of_groups((GROUP,), None, {}), chance, self.now)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            for table in self.tables.values():
                table.tick(self.now)
            while self._step():
                pass

    def leader(self) -> MultiRaft | None:
        return next((table for table in self.tables.values() if table.replicas[GROUP].is_leader), None)

    def kill(self, table: MultiRaft) -> None:
        del self.tables[table.settings.address]

    def _step(self) -> bool:
        """Moves all that is waiting; tells whether anything was."""
        moved = False
        for address, table in list(self.tables.items()):
            if table.take_updates():
                table.persisted(self.now)  # a real program writes and syncs the changes before it says so
                moved = True
            for index, entry in table.replicas[GROUP].take_committed():
                if entry.kind == EntryKind.COMMAND:
                    self.registers[address].value = entry.data
                    print(f"{self.now:6.2f} s  {address[0]} applies entry {index}: {entry.data.decode()}")
            for receiver, envelope in table.take_envelopes():
                moved = True
                if receiver in self.tables:
                    self.tables[receiver].receive(self.now, envelope)
        return moved


def main() -> None:
    replicas = Replicas()
    replicas.run(2.0)
    first = replicas.leader()
    print(f"{replicas.now:6.2f} s  {first.settings.address[0]} leads")
    first.replicas[GROUP].propose(replicas.now, b"blue")
    replicas.run(0.5)
    replicas.kill(first)
    print(f"{replicas.now:6.2f} s  {first.settings.address[0]} is gone")
    replicas.run(2.0)
    second = replicas.leader()
    print(f"{replicas.now:6.2f} s  {second.settings.address[0]} leads")
    second.replicas[GROUP].propose(replicas.now, b"green")
    replicas.run(0.5)
    values = {register.value.decode() for seed, register in replicas.registers.items() if seed in replicas.tables}
    print(f"{replicas.now:6.2f} s  both that are left hold {', '.join(values)}")


if __name__ == "__main__":
    main()
