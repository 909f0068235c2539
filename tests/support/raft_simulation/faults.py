"""Schedules of faults drawn from a seed, within the failures that the core must tolerate."""

from __future__ import annotations

from .node import Node
from .world import World

RESTART_S = (0.2, 1.0)  # from the end of a process to its next start
CATCH_UP_S = 4.0  # for replicas to catch up after a fault, and replaced machines to become voters
RECOVERY_S = 12.0  # from the end of all faults to the final checks
SEEDS = 3
RETURN_CHANCE = 0.3  # that a replaced machine starts again later


class FaultInjector:
    """Draws faults for a world. A disk is lost only after `CATCH_UP_S` and a second without failures."""

    KINDS = (
        "kill",
        "power",
        "kill_all",
        "power_all",
        "wipe",
        "replace",
        "cut",
        "cut_one_way",
        "isolate",
        "freeze",
        "slow_disk",
        "hang_disk",
        "full_disk",
        "leave",
        "final",
        "change_seeds",
    )

    # Not added to KINDS, so that the schedules that seeds draw from KINDS stay the same
    RESET_KINDS = ("cut_reset", "kill", "leave", "freeze")
    WIRE_KINDS = ("reorder", "narrow", "stall", "cut", "cut_reset", "kill", "wipe", "freeze", "transfer")
    LATE_KINDS = ("stall", "stall", "stall", "transfer", "transfer", "leave", "hang_disk", "freeze")

    def __init__(self, world: World, kinds: tuple[str, ...] = KINDS) -> None:
        self.world = world
        self.random = world.random
        self.kinds = kinds
        self.history: list[str] = []
        self._calm_since = world.now
        self._next_number = len(world.nodes) + 1

    def begin(self, gap_s: float, until: float) -> None:
        """Injects a fault every `gap_s` seconds on average, up to the time `until`."""
        self.world.later(self.random.expovariate(1 / gap_s), None, lambda: self._inject(gap_s, until))

    def end(self) -> None:
        """Ends every fault and starts every machine whose process does not run."""
        self.world.cuts.clear()
        for node in self.world.nodes.values():
            self.world.bytes_per_s.pop(node.address, None)
            node.disk.full = False
            node.latency_factor = 1.0
            node.hung_until = 0.0
            node.frozen_until = self.world.now
            if not node.running:
                self._start(node)

    def _inject(self, gap_s: float, until: float) -> None:
        if self.world.now >= until:
            return
        kind = self.random.choice(self.kinds)
        node = self.random.choice(list(self.world.nodes.values()))
        self.history.append(f"{self.world.now:.3f} {kind} {node.address[0]}")
        getattr(self, f"_{kind}")(node)
        self.begin(gap_s, until)

    def _calm(self) -> bool:
        is_healthy = (
            all(node.running and not node.disk.full for node in self.world.nodes.values()) and not self.world.cuts
        )
        return is_healthy and self.world.now - self._calm_since > CATCH_UP_S + 1.0

    def _disturb(self, seconds: float = 0.0) -> None:
        self._calm_since = max(self._calm_since, self.world.now + seconds)

    def _start(self, node: Node) -> None:
        if not node.running and node.address in self.world.nodes:
            self._disturb()
            node.start(self.world.seeds, bootstrap=False)

    def _restart_later(self, node: Node) -> None:
        delay = self.random.uniform(*RESTART_S)
        self._disturb(delay)
        self.world.later(delay, None, lambda: self._start(node))

    def _kill(self, node: Node) -> None:
        node.kill()
        self._restart_later(node)

    def _power(self, node: Node) -> None:
        node.lose_power()
        self._restart_later(node)

    def _kill_all(self, _: Node) -> None:
        for node in self.world.nodes.values():
            self._kill(node)

    def _power_all(self, _: Node) -> None:
        for node in self.world.nodes.values():
            self._power(node)

    def _victims(self, node: Node) -> list[Node]:
        """Up to as many machines as may be lost at once, `node` first."""
        others = [other for other in self.world.nodes.values() if other is not node]
        return [node, *self.random.sample(others, self.random.randrange(self.world.fault_tolerance))]

    def _wipe(self, node: Node) -> None:
        if self._calm():
            for victim in self._victims(node):
                victim.wipe()
                self._restart_later(victim)

    def _final(self, node: Node) -> None:
        """As many disks as may be lost at once are lost, while all other machines lose power."""
        if self._calm():
            victims = self._victims(node)
            for victim in victims:
                victim.wipe()
                self._restart_later(victim)
            for other in self.world.nodes.values():
                if other not in victims:
                    self._power(other)

    def _replace(self, node: Node) -> None:
        """Replaces a machine; it never returns, or only long after its replacement has become a voter."""
        if self._calm():
            node.kill()
            del self.world.nodes[node.address]
            new = self.world.add(self._next_number)
            self._next_number += 1
            self._restart_later(new)
            if self.random.random() < RETURN_CHANCE:
                self.world.later(CATCH_UP_S + 2.0, None, lambda: self._return_replaced(node))

    def _return_replaced(self, node: Node) -> None:
        self.history.append(f"{self.world.now:.3f} come back {node.address[0]}")
        self.world.nodes[node.address] = node
        self._start(node)

    def _change_seeds(self, _: Node) -> None:
        """Processes that start from now on get other seeds, drawn from the machines that run now."""
        running = [node.address for node in self.world.running()]
        if len(running) >= SEEDS:
            self.world.seeds = tuple(self.random.sample(running, SEEDS))

    def _leave(self, node: Node) -> None:
        if node.running:
            node.multi_raft.leave(self.world.now)
            node.pump()
            self.world.later(0.5, node, lambda: self._kill(node))

    def _cut_seconds(self) -> float:
        return self.random.uniform(0.2, 4.0)

    def _cut_links(self, links: set) -> None:
        seconds = self._cut_seconds()
        self._disturb(seconds)
        self.world.cuts |= links
        self.world.later(seconds, None, lambda: self.world.cuts.difference_update(links))

    def _cut(self, node: Node) -> None:
        other = self.random.choice(list(self.world.nodes.values()))
        self._cut_links({(node.address, other.address), (other.address, node.address)})

    def _cut_one_way(self, node: Node) -> None:
        other = self.random.choice(list(self.world.nodes.values()))
        self._cut_links({(node.address, other.address)})

    def _isolate(self, node: Node) -> None:
        others = [at for at in self.world.nodes if at != node.address]
        self._cut_links({(node.address, at) for at in others} | {(at, node.address) for at in others})

    def _cut_reset(self, node: Node) -> None:
        """A machine is cut off, and its connections are reset, so that both sides notice at once."""
        others = [other for other in self.world.nodes.values() if other is not node]
        self._isolate(node)
        for other in others:
            self.world.reset(node, other)

    def _stall(self, node: Node) -> None:
        """A connection carries nothing for a while, then everything, in the order in which it was sent."""
        other = self.random.choice(list(self.world.nodes.values()))
        seconds = self.random.uniform(0.2, 2.0)
        self._disturb(seconds)
        self.world.stall(node.address, other.address, seconds)

    def _reorder(self, node: Node) -> None:
        """Messages overtake each other in both directions of a link, as when an old and a new connection carry them."""
        other = self.random.choice(list(self.world.nodes.values()))
        until = self.world.now + self.random.uniform(0.5, 4.0)
        self.world.reorders_until[node.address, other.address] = until
        self.world.reorders_until[other.address, node.address] = until

    def _narrow(self, node: Node) -> None:
        """Limits the links of a machine to 10, 60 or 600 kB/s for a while."""
        self.world.bytes_per_s[node.address] = self.random.choice([10e3, 60e3, 600e3])
        seconds = self.random.uniform(0.5, 4.0)
        self._disturb(seconds)
        self.world.later(seconds, None, lambda: self.world.bytes_per_s.pop(node.address, None))

    def _transfer(self, node: Node) -> None:
        """Transfers the leadership of all shards that a machine leads, as an operator may."""
        if node.running:
            for replica in node.multi_raft.replicas.values():
                replica.transfer_leadership(self.world.now)
            node.pump()

    def _freeze(self, node: Node) -> None:
        seconds = self.random.uniform(0.2, 4.0)
        self._disturb(seconds)
        node.frozen_until = self.world.now + seconds

    def _slow_disk(self, node: Node) -> None:
        node.latency_factor = 25.0
        self.world.later(self.random.uniform(1.0, 5.0), None, lambda: setattr(node, "latency_factor", 1.0))

    def _hang_disk(self, node: Node) -> None:
        node.hung_until = self.world.now + 5.0
        self._disturb(5.0)

    def _full_disk(self, node: Node) -> None:
        node.disk.full = True
        seconds = self.random.uniform(0.5, 4.0)
        self._disturb(seconds)
        disk = node.disk
        self.world.later(seconds, None, lambda: setattr(disk, "full", False))


class HarshFaultInjector(FaultInjector):
    """Loses disks at any moment, amid cuts (of up to 20 s), kills and other losses.

    The previous loss must be repaired first: since then, `CATCH_UP_S` and a second have passed without failures.
    """

    CUT_S = (0.5, 3.0, 8.0, 20.0)

    def __init__(self, world: World, kinds: tuple[str, ...] = FaultInjector.KINDS) -> None:
        super().__init__(world, kinds)
        self._repairing = False

    def _calm(self) -> bool:
        if self._repairing and super()._calm():
            self._repairing = False
        return not self._repairing

    def _begin_repair(self) -> None:
        self._repairing = True
        self._disturb()

    def _wipe(self, node: Node) -> None:
        if self._calm():
            super()._wipe(node)
            self._begin_repair()

    def _final(self, node: Node) -> None:
        if self._calm():
            super()._final(node)
            self._begin_repair()

    def _replace(self, node: Node) -> None:
        if self._calm():
            super()._replace(node)
            self._begin_repair()

    def _cut_seconds(self) -> float:
        return self.random.choice(self.CUT_S)


def play(
    world: World,
    seconds: float,
    gap_s: float = 1.0,
    kinds: tuple[str, ...] = FaultInjector.KINDS,
    injector: type[FaultInjector] | None = None,
) -> FaultInjector:
    """A complete run: start, faults amid traffic, recovery, and the final checks.

    Args:
        world: A new world.
        seconds: Virtual time with faults.
        gap_s: Mean time between faults.
        kinds: Which faults are drawn.
        injector: `FaultInjector` unless another is given.

    Returns:
        The injector with its history.

    Raises:
        AssertionError: A rule is broken (Violation), or a shard accepts no commands after the recovery.
    """
    faults = (injector or FaultInjector)(world, kinds)
    world.run(3.0)
    world.traffic(0.05, world.now + seconds + RECOVERY_S)
    world.quota_traffic.begin(world.now + seconds + RECOVERY_S)
    faults.begin(gap_s, world.now + seconds)
    world.run(seconds)
    faults.end()
    world.run(RECOVERY_S)
    assert all(world.quota_traffic.granted.values()), "a tenant was granted nothing"
    for shard in world.shards:
        before = len(world.checks.acked[shard])
        world.propose(shard)
        world.run(2.0)
        assert len(world.checks.acked[shard]) > before, f"shard {shard} accepts no commands after all faults have ended"
    world.checks.check_final_state(list(world.nodes.values()))
    return faults
