"""The simulated world: virtual time, a network that delays and loses messages, and the machines of the core."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from ochrespan.common.addresses import Address
from ochrespan.control_plane.replication.raft_wire import pack_envelope
from ochrespan.raft.messages import RequestVoteResponse
from ochrespan.raft.multi_raft import MultiRaft, RecoveredGroups
from ochrespan.transport.codec import encode

from .checks import Checks, Read
from .node import Machine, Node
from .quota import QuotaTraffic

PORT = 7500
MAX_OVERTAKEN_S = 0.15  # longest extra delay of a message on a link that reorders
COMMAND_FRACTION = 0.7  # of the traffic; the rest is reads


def address(number: int) -> Address:
    """The address of a machine by its number."""
    return (f"10.0.0.{number}", PORT)


class World:
    """Runs events in the order of their time. All randomness comes from one seed."""

    def __init__(  # noqa: PLR0913 - tests vary each by itself
        self,
        seed: int,
        size: int = 3,
        fault_tolerance: int = 1,
        *,
        shards: tuple[int, ...] = (0, 1),
        seeds: tuple[int, ...] = (1, 2, 3),
        starting: bool = True,
    ) -> None:
        self.random = random.Random(seed)
        self.now = 100.0
        self.shards = shards
        self.fault_tolerance = fault_tolerance
        self.seeds = tuple(map(address, seeds))
        self.cuts: set[tuple[Address, Address]] = set()
        self.bytes_per_s: dict[Address, float] = {}  # limit of a machine's links; none if it is not listed
        self.reorders_until: dict[tuple[Address, Address], float] = {}  # links whose messages overtake each other
        self.carried: dict[tuple[Address, Address], int] = {}  # bytes sent on links with a limit
        self.checks = Checks(self)
        self.quota_traffic = QuotaTraffic(self)
        self.multi_raft_type = MultiRaft
        self.machine_type: Callable[[], Machine] = Machine
        self.nodes = {address(number): Node(self, address(number)) for number in range(1, size + 1)}
        self._events: list = []
        self._count = 0
        self._arrives: dict[tuple[Address, Address], float] = {}
        self._commands = 0
        for node in self.nodes.values() if starting else ():
            self.start_later(node, self.random.uniform(0, 0.3))

    def start_later(self, node: Node, delay: float) -> None:
        """Starts a machine for the first time, after `delay` seconds."""
        self.later(delay, None, lambda: node.start(self.seeds, True))

    def make_multi_raft(self, settings, identity, durable) -> MultiRaft:
        """The replicas of a starting process, from the state that was read from its disk."""
        recovered = RecoveredGroups.of_groups(self.shards, identity, durable)
        return self.multi_raft_type(settings, recovered, self.random, self.now)

    # Events

    def later(self, delay: float, node: Node | None, action: Callable[[], None]) -> None:
        """Schedules an action; those of a process (`node`) are dropped when it ends, and delayed while it is frozen."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay, self._count, node, node.incarnation if node else 0, action))

    def run(self, seconds: float) -> None:
        """Runs the events of the next `seconds` of virtual time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            at, _, node, incarnation, action = heapq.heappop(self._events)
            self.now = max(self.now, at)
            if node is not None and node.incarnation != incarnation:
                continue
            if node is not None and node.frozen_until > self.now:
                self.later(node.frozen_until - self.now, node, action)
                continue
            action()
        self.now = end

    # Network

    def post(self, sender: Node, to: Address, envelope) -> None:
        """Sends an envelope; a cut link loses it, and a link delivers in order unless it reorders."""
        for shard, message in envelope.frames:
            if isinstance(message, RequestVoteResponse) and message.granted and not message.pre_vote:
                self.checks.vote(envelope.sender, sender.address[0], shard, message.term, envelope.to)
        receiver = self.nodes.get(to)
        if receiver is None or (sender.address, to) in self.cuts:
            return
        arrival = max(self.now + self.random.uniform(0.0005, 0.002), self._arrives.get((sender.address, to), 0.0))
        arrival += self._transmission_s(sender.address, to, envelope)
        self._arrives[sender.address, to] = arrival
        if self.reorders_until.get((sender.address, to), 0.0) > self.now:
            arrival += self.random.uniform(0.0, MAX_OVERTAKEN_S)
        self.later(arrival - self.now, receiver, lambda: self._deliver(sender.address, receiver, envelope))

    def _transmission_s(self, sender: Address, to: Address, envelope) -> float:
        """Seconds that the slower link needs for an envelope; later envelopes queue behind it."""
        rate = min(self.bytes_per_s.get(sender, float("inf")), self.bytes_per_s.get(to, float("inf")))
        if rate == float("inf"):
            return 0.0
        size = len(encode(pack_envelope(envelope)))
        self.carried[sender, to] = self.carried.get((sender, to), 0) + size
        return size / rate

    def _deliver(self, sender: Address, receiver: Node, envelope) -> None:
        if receiver.running and (sender, receiver.address) not in self.cuts:
            receiver.receive(envelope)

    def stall(self, sender: Address, to: Address, seconds: float) -> None:
        """For `seconds`, nothing that one machine sends to another arrives; after that it arrives in order."""
        self._arrives[sender, to] = max(self._arrives.get((sender, to), 0.0), self.now + seconds)

    def process_ended(self, gone: Address) -> None:
        """The operating system resets the connections of a process that ends, unless a cut prevents it."""
        for node in self.nodes.values():
            if node.running and node.address != gone and (gone, node.address) not in self.cuts:
                self.later(0.001, node, lambda node=node: node.multi_raft.peer_disconnected(self.now, gone))

    def reset(self, first: Node, second: Node) -> None:
        """The connections between two machines are reset."""
        for node, peer in ((first, second), (second, first)):
            if node.running:
                self.later(
                    0.001, node, lambda node=node, peer=peer: node.multi_raft.peer_disconnected(self.now, peer.address)
                )

    # Clients

    def running(self) -> list[Node]:
        """Machines whose process runs and isn't frozen."""
        return [node for node in self.nodes.values() if node.running and node.frozen_until <= self.now]

    def propose(self, shard: int) -> None:
        """Proposes a new command to any machine that accepts it."""
        self._commands += 1
        nodes = self.running()
        self.random.shuffle(nodes)
        for node in nodes:
            if node.propose(shard, f"{shard}:{self._commands}"):
                return

    def read(self, shard: int) -> None:
        """Begins a confirmed read at any machine that accepts it."""
        nodes = self.running()
        self.random.shuffle(nodes)
        for node in nodes:
            if node.read(shard, Read(self.checks, shard)):
                return

    def traffic(self, gap_s: float, until: float) -> None:
        """Sends commands and reads, one every `gap_s` seconds on average, up to the time `until`."""
        if self.now >= until:
            return
        shard = self.random.choice(self.shards)
        (self.propose if self.random.random() < COMMAND_FRACTION else self.read)(shard)
        self.later(self.random.expovariate(1 / gap_s), None, lambda: self.traffic(gap_s, until))

    def add(self, number: int) -> Node:
        """Adds a machine, which is not started yet."""
        node = self.nodes[address(number)] = Node(self, address(number))
        return node

    def leader(self, shard: int) -> Node | None:
        """The machine that leads a shard and may respond; of several the one with the newest term."""
        leaders = [node for node in self.running() if node.multi_raft.replicas[shard].is_leader]
        return max(leaders, key=lambda node: node.multi_raft.replicas[shard].state.term, default=None)
