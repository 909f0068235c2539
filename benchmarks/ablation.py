"""What each mechanism of the scheduler is worth: switched off, one by one, over modelled engines.

    python -m benchmarks.ablation --seeds 12

Switches are replaced names of modules, so the program has no conditions for them. The differences are paired by seed,
with Student's 95% interval. They are the model's: a bench with processes and networks may differ.
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

from benchmarks.engine_model import EngineFigures
from benchmarks.fleet_model import FleetModel, worth_of
from benchmarks.paired_rounds import interval
from ochrespan.data_plane import flow_queues, flows, placement, scheduler, server_state, service_pool, urgency
from ochrespan.data_plane.decision_record import HOME
from ochrespan.data_plane.server_state import ServerState
from ochrespan.policy import arr


@dataclass(frozen=True)
class Deployment:
    """A modelled one: engines, routers and load."""

    name: str
    routers: int
    servers: int
    load: float
    seconds: float = 20.0
    tenants: int = 5
    figures: EngineFigures = EngineFigures()


@dataclass(frozen=True)
class Switch:
    """A mechanism, and the names that are replaced to do without it."""

    name: str
    replaced: tuple[tuple[object, str, object], ...]


SMALL = EngineFigures(
    batch=16, queue=16, step_s=0.012, step_s_per_request=0.0004, prompt_tokens_per_s=25_000.0, memory_tokens=120_000
)
DEPLOYMENTS = (
    Deployment("usual load", 9, 6, 1.0),
    Deployment("twice the load", 9, 6, 2.0),
    Deployment("many routers", 56, 45, 1.5, 12.0, 16),
    Deployment("few places", 56, 10, 0.35, 20.0, 16, SMALL),
)


def _same(value: float, *_: object) -> float:
    return value


def _nothing(*_: object) -> None:
    return None


def _counted_as_kept(placed: placement.Placement, now: float, server: ServerState, prompt: placement.Prompt) -> bool:
    """As if every home had read what it keeps."""
    return (
        not prompt.shared_tokens
        or server.has_cached(prompt.prefix_key, now)
        or placed.choice_label(prompt, server) == HOME
    )


def _not_dealt(model: FleetModel, parts: object) -> tuple[str, bool]:
    return "", False


def _zero(*_: object) -> float:
    return 0.0


def _never(*_: object) -> bool:
    return False


SWITCHES = (
    Switch("LexAS, upper threshold", ((flow_queues, "upper_threshold", lambda flows: inf),)),
    Switch("LexAS, lower threshold", ((flow_queues, "lift_lagging", _nothing),)),
    Switch("ARR, gains on misses", ((arr, "GAIN_STEP", 0.0),)),
    Switch("ARR, pick by (a + 1) / delta", ((flow_queues, "rank", _zero),)),
    Switch("weights by urgency", ((flows, "WEIGHT_RATIO", 1.0),)),
    Switch("window, narrowing", ((server_state, "narrowed", _same),)),
    Switch("window, cap under the capacity", ((server_state, "HEADROOM", 1e9),)),
    Switch("Priority by size", ((urgency, "MAX_SIZE_STEP", 0),)),
    Switch("Priority by rank", ((urgency, "RANK_STEPS", 0),)),
    Switch("homes dealt by their owner", ((FleetModel, "_home", _not_dealt),)),
    Switch("first readings count whole", ((placement.Placement, "is_prefix_cached", _counted_as_kept),)),
    Switch("leaving a home", ((placement, "MAX_WAIT_FRACTION", 0.0),)),
    Switch("staying at a home", ((placement, "CACHE_MISS_FACTOR", 1.0),)),
    Switch("refusal by hopeless waits", ((scheduler, "MAX_SERVER_WAIT_RATIO", inf),)),
    Switch("sending beyond the window", ((scheduler.Scheduler, "_send_overdue", lambda *_: False),)),
    Switch("ejection", ((service_pool.ServicePool, "can_eject", _never),)),
    Switch("judging silence", ((service_pool.ServicePool, "record_abandoned", _nothing),)),
    Switch("price of new connections", ((placement, "NEW_CONNECTION_FRACTION", 0.0),)),
    Switch("price of other zones", ((placement, "CROSS_ZONE_COST_S", 0.0),)),
    Switch("price of requests out", ((placement, "IN_FLIGHT_COST_S", 0.0),)),
)


def worth_without(deployment: Deployment, switch: Switch | None, seed: int) -> float:
    """The worth of one play, with or without a mechanism."""
    with ExitStack() as replaced:
        for owner, name, value in switch.replaced if switch is not None else ():
            replaced.enter_context(patch.object(owner, name, value))
        model = FleetModel(
            deployment.routers, deployment.servers, deployment.load, seed, figures=deployment.figures,
            tenants=deployment.tenants, deals_homes=True,
        )  # fmt: skip
        model.run(deployment.seconds)
        return worth_of(model)


def _play(place: tuple[int, int, int]) -> float:
    """By numbers, as switches can not be sent to another process; -1 is the whole scheduler."""
    deployment, switch, seed = place
    return worth_without(DEPLOYMENTS[deployment], SWITCHES[switch] if switch >= 0 else None, seed)


def table(seeds: int, play_all: Callable[[list[tuple[int, int, int]]], list[float]]) -> list[str]:
    """A line for each mechanism: what the worth loses without it, in each deployment."""
    places = [(d, s, seed) for d in range(len(DEPLOYMENTS)) for s in range(-1, len(SWITCHES)) for seed in range(seeds)]
    worths = dict(zip(places, play_all(places), strict=True))
    lines = ["| without | " + " | ".join(each.name for each in DEPLOYMENTS) + " |"]
    lines.append("| --- " * (len(DEPLOYMENTS) + 1) + "|")
    whole = [mean(worths[d, -1, seed] for seed in range(seeds)) for d in range(len(DEPLOYMENTS))]
    lines.append("| nothing: the worth | " + " | ".join(f"{worth:.4f}" for worth in whole) + " |")
    for number, switch in enumerate(SWITCHES):
        cells = []
        for d in range(len(DEPLOYMENTS)):
            changes = [worths[d, number, seed] - worths[d, -1, seed] for seed in range(seeds)]
            cells.append(f"{mean(changes):+.4f} ({interval(changes):.4f})")
        lines.append(f"| {switch.name} | " + " | ".join(cells) + " |")
    return lines


def run(*, seeds: int = 12, jobs: int = 2) -> int:
    """Prints the table.

    :param seeds: plays of each deployment
    :param jobs: at the same time
    """
    with ProcessPoolExecutor(jobs) as pool:
        for line in table(seeds, lambda places: list(pool.map(_play, places, chunksize=seeds))):
            print(line)
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(run))
