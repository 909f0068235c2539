"""The replica groups of hollow controllers: real replicas and wire format over a model network, with a model disk."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ochrespan.control_plane.raft_wire import pack_envelope, pack_record, unpack_envelope
from ochrespan.control_plane.replica_host import TICK_S
from ochrespan.coordination.addresses import Address
from ochrespan.coordination.formation import FormationSettings
from ochrespan.coordination.group_table import GroupTable
from ochrespan.coordination.shards import ALL_SHARDS
from ochrespan.transport.codec import decode, encode

from .meter import MICROSECONDS, Meter
from .network import ModelNetwork
from .series import Series

SEEDS = 3
SYNC_S = 0.002
START_SPREAD_S = 0.3
START_LIMIT_S = 60.0
SETTLING_S = 30.0  # learners are taken in as voters, leaders spread over the voters
STEADY_S = 20.0
COMMAND = bytes(300)
COMMANDS_PER_S = 50.0


class HollowController:
    """The replicas of one controller: what its host does with them, without sockets and without a file."""

    def __init__(self, network: ModelNetwork, address: Address, seeds: tuple[Address, ...], seed: int) -> None:
        self.address = address
        self.meter = Meter()
        self.applied = 0
        self.written_bytes = 0
        settings = FormationSettings(address, seeds, bootstrap=True, tolerated=1)
        self._network = network
        self._writing = False
        self._ended = False
        self.table = GroupTable(settings, tuple(ALL_SHARDS), None, {}, random.Random(seed), network.now)

    def start(self) -> None:
        """Begins to take part."""
        self._network.attach(self.address, self)
        self._tick()

    def kill(self) -> None:
        """Ends without a word."""
        self._ended = True
        self._network.detach(self.address)

    def receive(self, peer: Address, data: bytes) -> None:
        """Takes an envelope."""
        self.meter.run(self._take, data)

    def propose(self, shard: int, command: bytes) -> bool:
        """Whether the command was appended here."""
        return bool(self.meter.run(self._propose, shard, command))

    def leads(self) -> set[int]:
        """The shards whose leader this controller is, ready to take proposals."""
        return {shard for shard, replica in self.table.replicas.items() if replica.is_leader}

    def _propose(self, shard: int, command: bytes) -> bool:
        placed = self.table.replicas[shard].propose(self._network.now, command)
        self._step()
        return placed is not None

    def _take(self, data: bytes) -> None:
        self.table.receive(self._network.now, unpack_envelope(decode(data)))
        self._step()

    def _tick(self) -> None:
        if not self._ended:
            self.meter.run(self._tick_table)
            self._network.at(self._network.now + TICK_S, self._tick)

    def _tick_table(self) -> None:
        self.table.tick(self._network.now)
        self._step()

    def _step(self) -> None:
        for replica in self.table.replicas.values():
            replica.take_restored()
            self.applied += len(replica.take_committed())
            replica.take_reads()
        for address, envelope in self.table.take_envelopes():
            self._network.send(self.address, address, encode(pack_envelope(envelope)))
        if not self._writing:
            self._write()

    def _write(self) -> None:
        records = [pack_record(change) for change in self.table.take_changes()]
        if records:
            self._writing = True
            self.written_bytes += sum(map(len, records))
            self._network.at(self._network.now + SYNC_S, self._written)

    def _written(self) -> None:
        self._writing = False
        if not self._ended:
            self.meter.run(self._durable)

    def _durable(self) -> None:
        self.table.written(self._network.now)
        self._step()


@dataclass(frozen=True, slots=True)
class GroupsRun:
    """One set of controllers; rates are of one controller on average, or of the busiest one."""

    controllers: int
    voters: int
    start_s: float  # until every shard had a leader
    steady_us: float  # a controller and second
    steady_messages: float
    steady_bytes: float  # in and out
    busiest_us: float  # a second
    busiest_bytes: float
    command_us: float  # for a committed command, at all controllers together
    command_bytes: float  # sent for a committed command, by all controllers together
    new_leader_s: float  # from the kill of a controller until all its shards had a new leader


class ControllerFleet:
    """Hollow controllers that start at once."""

    def __init__(self, controllers: int, seed: int = 1) -> None:
        self._random = random.Random(seed)
        self.network = ModelNetwork(self._random)
        addresses = [(f"10.1.0.{number + 1}", 7500) for number in range(controllers)]
        seeds = tuple(addresses[:SEEDS])
        self.controllers = [
            HollowController(self.network, address, seeds, seed + number) for number, address in enumerate(addresses)
        ]

    def leaders(self) -> dict[int, HollowController]:
        """The leader of each shard that has one."""
        return {shard: each for each in self.controllers for shard in each.leads()}

    def start(self) -> float:
        """Starts all; seconds until every shard has a leader."""
        for controller in self.controllers:
            self.network.at(self._random.uniform(0, START_SPREAD_S), controller.start)
        done = self.network.run_while(self._lacks_leaders, START_LIMIT_S)
        return self.network.now if done else float("inf")

    def begin_counting(self) -> None:
        """Sets all figures to zero."""
        self.network.forget_traffic()
        for controller in self.controllers:
            controller.meter = Meter()

    def processor_us(self) -> list[float]:
        """Processor time of each controller since counting began."""
        return [controller.meter.seconds * MICROSECONDS for controller in self.controllers]

    def propose_for(self, seconds: float) -> int:
        """Proposes commands at a steady rate to the leaders in turn; how many were taken."""
        taken, end, number = 0, self.network.now + seconds, 0
        while self.network.now < end:
            self.network.run(self.network.now + 1 / COMMANDS_PER_S)
            leader = self.leaders().get(number % len(ALL_SHARDS))
            taken += leader is not None and leader.propose(number % len(ALL_SHARDS), COMMAND)
            number += 1
        return taken

    def kill_leader(self) -> float:
        """Kills the leader of the configuration's shard; seconds until every shard has a leader again."""
        began, victim = self.network.now, self.leaders()[0]
        victim.kill()
        self.controllers.remove(victim)
        done = self.network.run_while(self._lacks_leaders, began + START_LIMIT_S)
        return self.network.now - began if done else float("inf")

    def _lacks_leaders(self) -> bool:
        return len(self.leaders()) < len(ALL_SHARDS)


def measure(controllers: int) -> GroupsRun:
    """All figures of one set of controllers."""
    fleet = ControllerFleet(controllers)
    start_s = fleet.start()
    fleet.network.run(fleet.network.now + SETTLING_S)
    fleet.begin_counting()
    fleet.network.run(fleet.network.now + STEADY_S)
    quiet_us = fleet.processor_us()
    quiet_bytes = [traffic.bytes_both for traffic in fleet.network.traffic.values()]
    messages = sum(traffic.messages_out for traffic in fleet.network.traffic.values())
    fleet.begin_counting()
    commands = fleet.propose_for(STEADY_S)
    busy_bytes = sum(traffic.bytes_out for traffic in fleet.network.traffic.values())
    voters = len(fleet.controllers[0].table.replicas[0].core.configuration.voters)
    return GroupsRun(
        controllers=controllers,
        voters=voters,
        start_s=start_s,
        steady_us=sum(quiet_us) / controllers / STEADY_S,
        steady_messages=messages / controllers / STEADY_S,
        steady_bytes=sum(quiet_bytes) / controllers / STEADY_S,
        busiest_us=max(quiet_us) / STEADY_S,
        busiest_bytes=max(quiet_bytes) / STEADY_S,
        command_us=(sum(fleet.processor_us()) - sum(quiet_us)) / max(1, commands),
        command_bytes=(busy_bytes - sum(quiet_bytes) / 2) / max(1, commands),
        new_leader_s=fleet.kill_leader(),
    )


def series(runs: list[GroupsRun]) -> list[Series]:
    """The runs' figures over the count of controllers."""

    def of(name: str, unit: str, figure) -> Series:
        return Series.of(name, unit, "controllers", ((run.controllers, figure(run)) for run in runs))

    return [
        of("groups: voters of a group", "replicas", lambda run: run.voters),
        of("groups quiet: processor", "us a controller and s", lambda run: run.steady_us),
        of("groups quiet: processor of the busiest", "us a s", lambda run: run.busiest_us),
        of("groups quiet: messages sent", "a controller and s", lambda run: run.steady_messages),
        of("groups quiet: bytes in and out", "B a controller and s", lambda run: run.steady_bytes),
        of("groups quiet: bytes of the busiest", "B a s", lambda run: run.busiest_bytes),
        of("groups: processor for a command", "us of all controllers", lambda run: run.command_us),
        of("groups: bytes for a command", "B of all controllers", lambda run: run.command_bytes),
        of("groups start: until all shards have a leader", "s", lambda run: run.start_s),
        of("groups kill: until all shards have a leader", "s", lambda run: run.new_leader_s),
    ]
