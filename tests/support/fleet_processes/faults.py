"""A run of a fleet with random faults, drawn from a seed."""

from __future__ import annotations

import heapq
import http.client
import itertools
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from time import monotonic, sleep

from .bounds import CONTACT_S, Trouble, Troubles, Violation, find_violations
from .fleet import ZONES, Fleet, FleetProcess
from .observer import Observer
from .operator import Operator

STARTUP_TIMEOUT_S = 30.0
STEP_S = 0.05
LAUNCH_S = 1.0  # in which a SIGHUP may still end the launcher, before the program has begun
STATUS_TIMEOUT_S = 0.4
SEED_LAG_S = 3.0  # between the replacement of a controller and the change of the settings, at most
SETTLE_S = 2 * CONTACT_S + 1.0
FAVOURED_ZONE_PROBABILITY = 0.75  # of a replacement in one zone, so that its former controllers add up


@dataclass(frozen=True, slots=True)
class RunResult:
    """What a run showed.

    Attributes:
        violations: Samples that break the bound.
        problems: Refused changes, processes that ended by themselves, and an end without agreement.
        changes: The number of acknowledged changes.
        samples: The number of samples.
        bounded_samples: The number of samples for which a bound held.
        faults: What was done, with the seconds since the start.
    """

    violations: list[Violation]
    problems: list[str]
    changes: int
    samples: int
    bounded_samples: int
    faults: list[str]


class FaultRun:
    """Applies faults to a fleet for a time; each fault has an end, and faults overlap.

    One controller at a time has a fault, so that a majority runs; with `is_harsh`, a second one may fail meanwhile.
    """

    def __init__(self, fleet: Fleet, seed: int, is_harsh: bool) -> None:
        self.fleet = fleet
        self.troubles = Troubles()
        self.log: list[str] = []
        self.problems: list[str] = []
        self._random = random.Random(seed)
        self._is_harsh = is_harsh
        self._started_at = monotonic()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._busy_controllers: set[str] = set()
        self._busy_routers: set[str] = set()
        self._favoured_zone = self._random.choice(ZONES)

    def run(self, seconds: float) -> None:
        """Draws faults for so many seconds, then ends those that last."""
        end = monotonic() + seconds
        next_core_at = monotonic() + self._random.uniform(0.5, 2.0)
        next_router_at = monotonic() + self._random.uniform(0.5, 2.0)
        while monotonic() < end:
            self._run_due(monotonic())
            if monotonic() >= next_core_at:
                self._disturb_controller()
                next_core_at = monotonic() + self._random.uniform(1.0, 7.0)
            if monotonic() >= next_router_at:
                self._disturb_router()
                next_router_at = monotonic() + self._random.uniform(0.5, 4.0)
            self._update_majority()
            self._check_processes()
            sleep(STEP_S)
        while self._due:
            self._run_due(monotonic())
            sleep(STEP_S)

    # Controllers

    def _disturb_controller(self) -> None:
        if self._busy_controllers and not (self._is_harsh and self._random.random() < 0.3):
            return
        idle = [each for each in self.fleet.controllers.values() if each.name not in self._busy_controllers]
        if not idle:
            return
        tolerates_loss = self._tolerates_loss()
        if not tolerates_loss and not self._is_harsh:
            return
        faults = [self._freeze_controller, self._restart_controller, self._cut_controller, self._slow_controller]
        if tolerates_loss and not self._busy_controllers:
            faults += [self._replace_controller] * 4
        fault = self._random.choice(faults)
        favoured = [each for each in idle if each.zone == self._favoured_zone]
        if fault == self._replace_controller and favoured and self._random.random() < FAVOURED_ZONE_PROBABILITY:
            idle = favoured
        fault(self._random.choice(idle))

    def _replace_controller(self, member: FleetProcess) -> None:
        self._busy_controllers.add(member.name)
        self._note(f"{member.name} ends with its disk")
        self._disturb_minority("replaced", momentary=True)
        replacement = self.fleet.replace_controller(member)
        self._busy_controllers.add(replacement.name)
        self._after(self._random.uniform(0.0, SEED_LAG_S), self.fleet.write_all_settings)

        def start() -> None:
            self._note(f"{replacement.name} starts")
            self._disturb_minority("replacement started", momentary=True)
            self.fleet.start(replacement)
            self._busy_controllers -= {member.name, replacement.name}

        self._after(self._random.uniform(0.1, 4.0), start)

    def _freeze_controller(self, member: FleetProcess) -> None:
        trouble = self._begin_core_fault(member, "frozen")
        self.fleet.signal(member, signal.SIGSTOP)

        def thaw() -> None:
            self.fleet.signal(member, signal.SIGCONT)
            self._end_core_fault(member, trouble)

        self._after(self._random.uniform(0.3, 5.0), thaw)

    def _restart_controller(self, member: FleetProcess) -> None:
        self._busy_controllers.add(member.name)
        self._note(f"{member.name} is killed")
        self._disturb_minority("killed", momentary=True)
        self.fleet.kill(member)

        def start() -> None:
            self._note(f"{member.name} starts again")
            self._disturb_minority("started", momentary=True)
            self.fleet.start(member)
            self._busy_controllers.discard(member.name)

        self._after(self._random.choice((0.1, 1.0, 6.0)) + self._random.random(), start)

    def _cut_controller(self, member: FleetProcess) -> None:
        trouble = self._begin_core_fault(member, "cut off")
        others = [each for each in self.fleet.controllers.values() if each is not member]
        for other in others:
            self.fleet.cut(member, other)

        def join() -> None:
            for other in others:
                self.fleet.mend(member, other)
            self._end_core_fault(member, trouble)

        self._after(self._random.uniform(0.5, 6.0), join)

    def _slow_controller(self, member: FleetProcess) -> None:
        trouble = self._begin_core_fault(member, "slow")
        others = [each for each in self.fleet.controllers.values() if each is not member]
        for other in others:
            self.fleet.slow(member, other, self._random.uniform(0.02, 0.4))

        def recover() -> None:
            for other in others:
                self.fleet.mend(member, other)
            self._end_core_fault(member, trouble)

        self._after(self._random.uniform(0.5, 6.0), recover)

    def _begin_core_fault(self, member: FleetProcess, what: str) -> Trouble:
        self._busy_controllers.add(member.name)
        self._note(f"{member.name} is {what}")
        return self._disturb_minority(what, momentary=False)

    def _end_core_fault(self, member: FleetProcess, trouble: Trouble) -> None:
        self._note(f"{member.name} is no longer {trouble.what}")
        trouble.end = monotonic()
        self._busy_controllers.discard(member.name)

    def _disturb_minority(self, what: str, momentary: bool) -> Trouble:
        now = monotonic()
        trouble = Trouble(what, now, now) if momentary else Trouble(what, now)
        self.troubles.minority.append(trouble)
        return trouble

    # Routers

    def _disturb_router(self) -> None:
        idle = [each for each in self.fleet.routers.values() if each.name not in self._busy_routers]
        if not idle:
            return
        faults = (
            self._freeze_router,
            self._restart_router,
            self._stop_router,
            self._cut_router,
            self._slow_router,
            self._reload_router,
        )
        self._random.choice(faults)(self._random.choice(idle))

    def _freeze_router(self, member: FleetProcess) -> None:
        trouble = self._begin_router_fault(member, "frozen")
        self.fleet.signal(member, signal.SIGSTOP)

        def thaw() -> None:
            self.fleet.signal(member, signal.SIGCONT)
            self._end_router_fault(member, trouble)

        self._after(self._random.uniform(0.2, 3.0), thaw)

    def _restart_router(self, member: FleetProcess) -> None:
        trouble = self._begin_router_fault(member, "killed")
        self.fleet.kill(member)

        def start() -> None:
            self.fleet.start(member)
            self._end_router_fault(member, trouble)

        self._after(self._random.uniform(0.1, 2.0), start)

    def _stop_router(self, member: FleetProcess) -> None:
        trouble = self._begin_router_fault(member, "stopped by SIGTERM")
        process = member.process
        assert process is not None
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            self.fleet.signal(member, number)

        def start_when_ended() -> None:
            if process.poll() is None:
                self._after(0.1, start_when_ended)
                return
            self.fleet.start(member)
            self._end_router_fault(member, trouble)

        self._after(0.1, start_when_ended)

    def _cut_router(self, member: FleetProcess) -> None:
        trouble = self._begin_router_fault(member, "cut off from controllers")
        controllers = list(self.fleet.controllers.values())
        cut = self._random.sample(controllers, self._random.randint(1, len(controllers)))
        for controller in cut:
            self.fleet.cut(member, controller)

        def join() -> None:
            for controller in cut:
                self.fleet.mend(member, controller)
            self._end_router_fault(member, trouble)

        self._after(self._random.uniform(0.5, 8.0), join)

    def _slow_router(self, member: FleetProcess) -> None:
        trouble = self._begin_router_fault(member, "on slow links")
        controllers = list(self.fleet.controllers.values())
        for controller in controllers:
            self.fleet.slow(member, controller, self._random.uniform(0.05, 1.5))

        def recover() -> None:
            for controller in controllers:
                self.fleet.mend(member, controller)
            self._end_router_fault(member, trouble)

        self._after(self._random.uniform(0.5, 8.0), recover)

    def _reload_router(self, member: FleetProcess) -> None:
        if monotonic() - member.started_at < LAUNCH_S:
            return
        self._note(f"{member.name} reloads its settings")
        for _ in range(self._random.randint(1, 3)):
            self.fleet.signal(member, signal.SIGHUP)

    def _begin_router_fault(self, member: FleetProcess, what: str) -> Trouble:
        self._busy_routers.add(member.name)
        self._note(f"{member.name} is {what}")
        trouble = Trouble(what, monotonic())
        self.troubles.routers.setdefault(member.name, []).append(trouble)
        return trouble

    def _end_router_fault(self, member: FleetProcess, trouble: Trouble) -> None:
        self._note(f"{member.name} is no longer {trouble.what}")
        trouble.end = monotonic()
        self._busy_routers.discard(member.name)

    # State of the fleet

    def _tolerates_loss(self) -> bool:
        return self.fleet.tolerates_loss(self._busy_controllers)

    def _update_majority(self) -> None:
        """Notes since when two controllers have had faults together, until every shard tolerates a loss again."""
        current = self.troubles.majority[-1] if self.troubles.majority else None
        is_lasting = current is not None and current.end > monotonic()
        if not is_lasting and len(self._busy_controllers) > 1 and self._is_harsh:
            self.troubles.majority.append(Trouble("two controllers", monotonic()))
        elif is_lasting and not self._busy_controllers and self._tolerates_loss():
            current.end = monotonic()

    def _check_processes(self) -> None:
        for member in (*self.fleet.controllers.values(), *self.fleet.routers.values()):
            busy = member.name in self._busy_controllers or member.name in self._busy_routers
            if not busy and member.process is not None and (code := member.process.poll()) is not None:
                self._note(f"{member.name} ended by itself")
                self.problems.append(f"{member.name} ended by itself with status {code}")
                self._restart_after_own_end(member)

    def _restart_after_own_end(self, member: FleetProcess) -> None:
        now = monotonic()
        self.fleet.start(member)
        if member.is_controller:
            self._disturb_minority("started", momentary=True)
        else:
            self.troubles.routers.setdefault(member.name, []).append(Trouble("started", now, now))

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (monotonic() + seconds, next(self._order), action))

    def _run_due(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            heapq.heappop(self._due)[2]()

    def _note(self, text: str) -> None:
        self.log.append(f"{monotonic() - self._started_at:7.3f} {text}")


def play(
    folder: Path, net: int, seed: int, seconds: float, *, is_harsh: bool = False, routers_per_zone: int = 2
) -> RunResult:
    """Runs a fleet with faults for `seconds`, lets it settle, and checks what its routers held all along."""
    fleet = Fleet(folder, net, routers_per_zone)
    operator = Operator(fleet, seed)
    observer = Observer(fleet, operator)
    run = FaultRun(fleet, seed, is_harsh)
    try:
        start_fleet(fleet, operator)
        _mark_starts(fleet, run.troubles)
        observer.start()
        run.run(seconds)
        if run.troubles.majority:
            run.troubles.majority[-1].end = min(run.troubles.majority[-1].end, monotonic())
        sleep(SETTLE_S)
        operator.stop()
        sleep(CONTACT_S)
        observer.stop()
    finally:
        fleet.close()
    violations = find_violations(observer.samples, operator.acknowledgements, run.troubles)
    problems = [*run.problems, *operator.refusals, *_disagreements(fleet, observer, operator)]
    bounded = sum(run.troubles.bound_s(each.router, each.sent_at) is not None for each in observer.samples)
    return RunResult(violations, problems, len(operator.acknowledgements), len(observer.samples), bounded, run.log)


def start_fleet(fleet: Fleet, operator: Operator) -> None:
    """Starts every process and the operator, and waits until the routers are ready."""
    fleet.start_all()
    operator.start()
    deadline = monotonic() + STARTUP_TIMEOUT_S
    for router in fleet.routers.values():
        while monotonic() < deadline:
            connection = http.client.HTTPConnection(router.ip, fleet.ports.ready, timeout=STATUS_TIMEOUT_S)
            try:
                connection.request("GET", "/api/readyz")
                if connection.getresponse().status == http.client.OK:
                    break
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            sleep(STEP_S)


def _mark_starts(fleet: Fleet, troubles: Troubles) -> None:
    """No bound holds before everything has run for CONTACT_S."""
    now = monotonic()
    for name in fleet.routers:
        troubles.routers[name] = [Trouble("start", 0.0, now)]


def _disagreements(fleet: Fleet, observer: Observer, operator: Operator) -> list[str]:
    """The routers whose last sample does not have the newest acknowledged version."""
    last = {sample.router: sample for sample in observer.samples if sample.feed is not None}
    disagreements = []
    for name in fleet.routers:
        version = last[name].feed["version"] if name in last else None
        if version is None or version < operator.version:
            disagreements.append(f"{name} ends at version {version}, acknowledged is {operator.version}")
    return disagreements


def report(seed: int, result: RunResult) -> str:
    """A line with the result, then the problems and the first violation of each router with the faults."""
    lines = [
        f"seed={seed} violations={len(result.violations)} problems={len(result.problems)} changes={result.changes} "
        f"samples={result.samples} bounded={result.bounded_samples}"
    ]
    lines += result.problems
    seen: set[tuple[str, str]] = set()
    for violation in result.violations:
        key = (violation.kind, violation.sample.router)
        if key not in seen:
            seen.add(key)
            lines.append(str(violation))
    if result.violations or result.problems:
        lines += result.faults
    return "\n".join(lines)
