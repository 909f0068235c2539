"""Three replicas of a small register, built on `ochrespan.raft` alone: no sockets, no disk, no clock.

    python examples/embed_coordination.py

The library decides; its user does the I/O. Here messages are passed in memory, updates count as persisted at once, and
time is simulated. A program that embeds the library provides its own transport, disk and monotonic clock, as the
replica host in `ochrespan/control_plane/replication/host.py` does.
"""

from __future__ import annotations

import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from ochrespan.raft.bootstrap import BootstrapSettings
from ochrespan.raft.messages import EntryKind
from ochrespan.raft.multi_raft import MultiRaft, RecoveredGroups

GROUP = 0
TICK_S = 0.06
SEEDS = tuple((f"10.0.0.{number}", 7500) for number in (1, 2, 3))


class Register:
    """The state machine: its value is the last applied command."""

    value = b"nothing"


class Replicas:
    """Three simulated processes, each with a replica of the group and a register."""

    def __init__(self) -> None:
        self.now = 0.0
        random_source = random.Random(1)
        self.registers = {seed: Register() for seed in SEEDS}
        self.processes = {}
        for seed in SEEDS:
            settings = BootstrapSettings(seed, SEEDS, bootstrap=True, fault_tolerance=1)
            recovered = RecoveredGroups.of_groups((GROUP,), None, {})
            self.processes[seed] = MultiRaft(settings, recovered, random_source, self.now)

    def run(self, seconds: float) -> None:
        """Advances the simulated time in steps of TICK_S, and delivers all messages after each."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            for process in self.processes.values():
                process.tick(self.now)
            while self._step():
                pass

    def leader(self) -> MultiRaft | None:
        """The process whose replica is the leader of the group, if any."""
        return next((process for process in self.processes.values() if process.replicas[GROUP].is_leader), None)

    def kill(self, process: MultiRaft) -> None:
        """Removes a process permanently; messages to it are dropped."""
        del self.processes[process.settings.address]

    def _step(self) -> bool:
        """Persists updates, applies committed entries and delivers messages; returns whether there were any."""
        progressed = False
        for address, process in list(self.processes.items()):
            if process.take_updates():
                process.persisted(self.now)  # a real program writes the updates to disk and syncs them first
                progressed = True
            for index, entry in process.replicas[GROUP].take_committed():
                if entry.kind == EntryKind.COMMAND:
                    self.registers[address].value = entry.data
                    print(f"{self.now:6.2f} s  {address[0]} applies entry {index}: {entry.data.decode()}")
            for receiver, envelope in process.take_envelopes():
                progressed = True
                if receiver in self.processes:
                    self.processes[receiver].receive(self.now, envelope)
        return progressed


def main() -> None:
    """Kills the leader, and changes the register again through its successor."""
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
    values = {register.value.decode() for seed, register in replicas.registers.items() if seed in replicas.processes}
    print(f"{replicas.now:6.2f} s  both that are left hold {', '.join(values)}")


if __name__ == "__main__":
    main()
