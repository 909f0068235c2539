"""SWIM membership of a hollow fleet: every member runs the real protocol and codec over a model network."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ochrespan.control_plane.membership import pack, unpack
from ochrespan.coordination.addresses import Address
from ochrespan.coordination.members import FleetMember
from ochrespan.coordination.swim import Ping, Swim
from ochrespan.transport.codec import decode, encode

from .meter import MICROSECONDS, Meter, bytes_held
from .network import ModelNetwork, Traffic
from .series import Series

CONTROLLERS = 24
SEEDS = 3
START_SPREAD_S = 0.3
START_LIMIT_S = 120.0
SETTLING_S = 30.0  # news of the start is told on for a while
STEADY_S = 30.0
DEATH_LIMIT_S = 60.0
DATAGRAM_LOSS = 0.001


class HollowMember:
    """One member: what its driver does with ticks and datagrams, without sockets."""

    def __init__(
        self, network: ModelNetwork, meter: Meter, own: FleetMember, seeds: tuple[Address, ...], seed: int
    ) -> None:
        self.swim = Swim(own, seeds, random.Random(seed), network.now)
        self.address = own.address
        self._network = network
        self._meter = meter
        self._timer_at = float("inf")
        self._ended = False

    def start(self) -> None:
        """Begins to take part."""
        self._network.attach(self.address, self)
        self._meter.run(self._tick)
        self._plan()

    def kill(self) -> None:
        """Ends without a word."""
        self._ended = True
        self._network.detach(self.address)

    def receive(self, peer: Address, data: bytes) -> None:
        """Takes a datagram."""
        self._meter.run(self._take, peer, data)
        self._plan()

    def known(self) -> int:
        """How many members it takes for alive, itself among them."""
        return len(self.swim.table.living()) + 1

    def _take(self, peer: Address, data: bytes) -> None:
        self.swim.receive(self._network.now, peer, unpack(decode(data)))
        self._send()

    def _tick(self) -> None:
        self.swim.tick(self._network.now)
        self._send()

    def _send(self) -> None:
        for target, message in self.swim.take_messages():
            self._network.send(self.address, target, encode(pack(message)))

    def _plan(self) -> None:
        if self.swim.next_at < self._timer_at:
            self._timer_at = self.swim.next_at
            self._network.at(self._timer_at, self._wake)

    def _wake(self) -> None:
        if self._ended or self._network.now < self._timer_at:
            return
        self._timer_at = float("inf")
        self._meter.run(self._tick)
        self._plan()


@dataclass(frozen=True, slots=True)
class Span:
    """What a part of a run cost one member on average, and the busiest one."""

    processor_us: float  # a member and second
    messages: float  # sent by a member each second
    bytes: float  # in and out of a member each second
    busiest_bytes: float  # in and out of the busiest member each second


@dataclass(frozen=True, slots=True)
class MembershipRun:
    """One fleet's figures; times in seconds."""

    members: int
    start_s: float  # until every member knew every other
    start: Span
    steady: Span
    first_dead_s: float  # from a kill until the first member has declared the death
    last_dead_s: float  # and until the last one knew
    wrongly_dead: int  # living members that somebody took for dead at the end
    table_bytes: int  # memory of one member's table


class MembershipFleet:
    """A fleet of hollow members that start at once."""

    def __init__(self, routers: int, controllers: int = CONTROLLERS, seed: int = 1) -> None:
        self._random = random.Random(seed)
        self.network = ModelNetwork(self._random, loss=DATAGRAM_LOSS)
        self.meter = Meter()
        own = [_member("controller", number) for number in range(controllers)]
        own += [_member("router", number) for number in range(routers)]
        seeds = tuple(member.address for member in own[:SEEDS])
        self.members = [
            HollowMember(self.network, self.meter, member, seeds, seed + number) for number, member in enumerate(own)
        ]

    def start(self) -> float:
        """Starts all members; returns after how many seconds every member knows every other, inf if never."""
        for member in self.members:
            self.network.at(self._random.uniform(0, START_SPREAD_S), member.start)
        self.network.run(START_SPREAD_S)
        everyone = len(self.members)
        done = self.network.run_while(lambda: any(each.known() < everyone for each in self.members), START_LIMIT_S)
        return self.network.now if done else float("inf")

    def span(self, seconds: float) -> Span:
        """Runs on for a while and tells what it cost."""
        self._begin_counting()
        began = self.network.now
        self.network.run(began + seconds)
        return self._cost(seconds)

    def cost_since_start(self) -> Span:
        """What the run so far has cost."""
        return self._cost(self.network.now)

    def kill_one(self) -> tuple[float, float]:
        """Kills a router; seconds until the first and until the last of the others take it for dead."""
        victim = self.members[-1]
        others = self.members[:-1]
        killed_at, everyone = self.network.now, len(self.members)
        victim.kill()
        limit = killed_at + DEATH_LIMIT_S
        self.network.run_while(lambda: all(each.known() == everyone for each in others), limit)
        first = self.network.now - killed_at
        done = self.network.run_while(lambda: any(each.known() >= everyone for each in others), limit)
        return first, self.network.now - killed_at if done else float("inf")

    def wrongly_dead(self, ended: int) -> int:
        """Living members that are missing in some living member's list."""
        living = self.members[: len(self.members) - ended]
        return max(len(living) - each.known() for each in living)

    def _begin_counting(self) -> None:
        self.network.forget_traffic()
        self.meter.seconds = 0.0

    def _cost(self, seconds: float) -> Span:
        count = len(self.members)
        traffic: list[Traffic] = list(self.network.traffic.values())
        return Span(
            processor_us=self.meter.seconds * MICROSECONDS / count / seconds,
            messages=sum(each.messages_out for each in traffic) / count / seconds,
            bytes=sum(each.bytes_both for each in traffic) / count / seconds,
            busiest_bytes=max(each.bytes_both for each in traffic) / seconds,
        )


def _member(role: str, number: int) -> FleetMember:
    network = {"controller": 1, "router": 2}[role]
    address = (f"10.{network}.{number // 250}.{number % 250 + 1}", 7500)
    return FleetMember(address, role, f"zone-{number % 13}", f"{role}-zone-{number % 13}-{number}")


def table_bytes(members: int) -> int:
    """The memory of a membership table with so many members."""

    def build() -> Swim:
        swim = Swim(_member("controller", 0), (), random.Random(1), 0.0)
        for number in range(members):
            peer = Swim(_member("router", number), (), random.Random(1), 0.0)
            announcement = unpack(decode(encode(pack(Ping(1, [peer.table.own_news()])))))
            swim.table.merge(0.0, announcement.news[0])
        return swim

    return bytes_held(build)


def measure(routers: int, controllers: int = CONTROLLERS, steady_s: float = STEADY_S) -> MembershipRun:
    """All figures of a fleet of one size."""
    fleet = MembershipFleet(routers, controllers)
    start_s = fleet.start()
    start = fleet.cost_since_start()
    fleet.network.run(fleet.network.now + SETTLING_S)
    steady = fleet.span(steady_s)
    first, last = fleet.kill_one()
    return MembershipRun(
        routers + controllers,
        start_s,
        start,
        steady,
        first,
        last,
        fleet.wrongly_dead(1),
        table_bytes(routers + controllers),
    )


def series(runs: list[MembershipRun]) -> list[Series]:
    """The runs' figures over the count of members."""

    def of(name: str, unit: str, figure) -> Series:
        return Series.of(name, unit, "members", ((run.members, figure(run)) for run in runs))

    return [
        of("SWIM steady: processor", "us a member and s", lambda run: run.steady.processor_us),
        of("SWIM steady: messages sent", "a member and s", lambda run: run.steady.messages),
        of("SWIM steady: bytes in and out", "B a member and s", lambda run: run.steady.bytes),
        of("SWIM start: until all know all", "s", lambda run: run.start_s),
        of("SWIM start: processor", "us a member", lambda run: run.start.processor_us * run.start_s),
        of("SWIM start: bytes in and out", "B a member", lambda run: run.start.bytes * run.start_s),
        of("SWIM start: bytes of the busiest", "B", lambda run: run.start.busiest_bytes * run.start_s),
        of("SWIM kill: until the first knows", "s", lambda run: run.first_dead_s),
        of("SWIM kill: until all know", "s", lambda run: run.last_dead_s),
        of("SWIM members wrongly taken for dead", "members", lambda run: run.wrongly_dead),
        of("SWIM memory of a member's table", "B", lambda run: run.table_bytes),
    ]
