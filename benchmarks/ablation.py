"""The contribution of each mechanism of the scheduler: disabled one by one, in the simulation with modelled engines.

    python -m benchmarks.ablation --seeds 12

A switch patches names in the program's modules, so the program needs no conditions for it. The differences are paired
by seed, with Student's 95% interval. They hold for the simulation: runs with processes and networks may differ.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack
from dataclasses import dataclass
from math import inf
from statistics import mean
from unittest.mock import patch

import defopt

from benchmarks.engine_model import EngineParameters
from benchmarks.fleet_model import FleetModel, earned_fraction
from benchmarks.paired_rounds import confidence_half_width
from ochrespan.data_plane import flow_queues, flows, placement, scheduler, server_state, service_pool, urgency
from ochrespan.data_plane.decision_record import HOME
from ochrespan.data_plane.server_state import ServerState
from ochrespan.policy import arr


@dataclass(frozen=True)
class Deployment:
    """A simulated deployment: engines, routers and load."""

    name: str
    routers: int
    servers: int
    load: float
    seconds: float = 20.0
    tenants: int = 5
    parameters: EngineParameters = EngineParameters()


@dataclass(frozen=True)
class Switch:
    """A mechanism, and the replacements (owner, name, value) that disable it."""

    name: str
    replacements: tuple[tuple[object, str, object], ...]


SMALL_ENGINE = EngineParameters(
    batch=16,
    queue=16,
    step_s=0.012,
    step_s_per_request=0.0004,
    prompt_tokens_per_s=25_000.0,
    cache_capacity_tokens=120_000,
)
DEPLOYMENTS = (
    Deployment("usual load", 9, 6, 1.0),
    Deployment("twice the load", 9, 6, 2.0),
    Deployment("many routers", 56, 45, 1.5, 12.0, 16),
    Deployment("few places", 56, 10, 0.35, 20.0, 16, SMALL_ENGINE),
)


def _identity(value: float, *_: object) -> float:
    return value


def _do_nothing(*_: object) -> None:
    return None


def _count_as_cached(
    placement_policy: placement.Placement, now: float, server: ServerState, prompt: placement.Prompt
) -> bool:
    """Regards the prompt's prefix as cached at its affinity server even before the first prefill."""
    return (
        not prompt.shared_tokens
        or server.has_cached(prompt.prefix_key, now)
        or placement_policy.choice_label(prompt, server) == HOME
    )


def _no_affinity_server(model: FleetModel, segments: object) -> tuple[str, bool]:
    return "", False


def _always_zero(*_: object) -> float:
    return 0.0


def _always_false(*_: object) -> bool:
    return False


SWITCHES = (
    Switch("LexAS, upper threshold", ((flow_queues, "upper_threshold", lambda flows: inf),)),
    Switch("LexAS, lower threshold", ((flow_queues, "lift_lagging", _do_nothing),)),
    Switch("ARR, gains on misses", ((arr, "GAIN_STEP", 0.0),)),
    Switch("ARR, pick by (a + 1) / delta", ((flow_queues, "rank", _always_zero),)),
    Switch("weights by urgency", ((flows, "WEIGHT_RATIO", 1.0),)),
    Switch("window, narrowing", ((server_state, "narrowed", _identity),)),
    Switch("window, cap under the capacity", ((server_state, "HEADROOM", 1e9),)),
    Switch("Priority by size", ((urgency, "MAX_SIZE_STEP", 0),)),
    Switch("Priority by rank", ((urgency, "RANK_STEPS", 0),)),
    Switch("homes dealt by their owner", ((FleetModel, "_affinity_server", _no_affinity_server),)),
    Switch("first readings count whole", ((placement.Placement, "is_prefix_cached", _count_as_cached),)),
    Switch("leaving a home", ((placement, "MAX_WAIT_FRACTION", 0.0),)),
    Switch("staying at a home", ((placement, "CACHE_MISS_FACTOR", 1.0),)),
    Switch("refusal by hopeless waits", ((scheduler, "MAX_SERVER_WAIT_RATIO", inf),)),
    Switch("sending beyond the window", ((scheduler.Scheduler, "_send_overdue", lambda *_: False),)),
    Switch("ejection", ((service_pool.ServicePool, "can_eject", _always_false),)),
    Switch("judging silence", ((service_pool.ServicePool, "record_abandoned", _do_nothing),)),
    Switch("price of new connections", ((placement, "NEW_CONNECTION_FRACTION", 0.0),)),
    Switch("price of other zones", ((placement, "CROSS_ZONE_COST_S", 0.0),)),
    Switch("price of requests out", ((placement, "IN_FLIGHT_COST_S", 0.0),)),
)


def value_without(deployment: Deployment, switch: Switch | None, seed: int) -> float:
    """The earned fraction of the offered value in one run, with all mechanisms or without one."""
    with ExitStack() as replacements:
        for owner, name, value in switch.replacements if switch is not None else ():
            replacements.enter_context(patch.object(owner, name, value))
        model = FleetModel(
            deployment.routers, deployment.servers, deployment.load, seed, parameters=deployment.parameters,
            tenants=deployment.tenants, assigns_affinity=True,
        )  # fmt: skip
        model.run(deployment.seconds)
        return earned_fraction(model)


def _run_trial(trial: tuple[int, int, int]) -> float:
    """Runs (deployment, switch, seed), by indexes because switches cannot be pickled; switch -1 disables nothing."""
    deployment, switch, seed = trial
    return value_without(DEPLOYMENTS[deployment], SWITCHES[switch] if switch >= 0 else None, seed)


def table(seeds: int, run_trials: Callable[[list[tuple[int, int, int]]], list[float]]) -> list[str]:
    """The table's lines, one per mechanism: the change of the earned fraction without it, in each deployment."""
    trials = [(d, s, seed) for d in range(len(DEPLOYMENTS)) for s in range(-1, len(SWITCHES)) for seed in range(seeds)]
    values = dict(zip(trials, run_trials(trials), strict=True))
    lines = ["| without | " + " | ".join(each.name for each in DEPLOYMENTS) + " |"]
    lines.append("| --- " * (len(DEPLOYMENTS) + 1) + "|")
    baselines = [mean(values[d, -1, seed] for seed in range(seeds)) for d in range(len(DEPLOYMENTS))]
    lines.append("| nothing: the worth | " + " | ".join(f"{baseline:.4f}" for baseline in baselines) + " |")
    for number, switch in enumerate(SWITCHES):
        cells = []
        for d in range(len(DEPLOYMENTS)):
            changes = [values[d, number, seed] - values[d, -1, seed] for seed in range(seeds)]
            cells.append(f"{mean(changes):+.4f} ({confidence_half_width(changes):.4f})")
        lines.append(f"| {switch.name} | " + " | ".join(cells) + " |")
    return lines


def run(*, seeds: int = 12, jobs: int = 2) -> int:
    """Prints the table.

    :param seeds: runs of each deployment
    :param jobs: concurrent processes
    """
    with ProcessPoolExecutor(jobs) as pool:
        for line in table(seeds, lambda trials: list(pool.map(_run_trial, trials, chunksize=seeds))):
            print(line)
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(run))
