"""The error of a team budget that is divided among independent fronts, for 1 to 64 fronts with uneven load.

    python -m benchmarks.front_parts [--seconds 120]

All fronts run the real admission code on one virtual clock. One team requests four times its budget, or half of it,
with its requests spread evenly, by Zipf's law, or through one front that changes every 15 s. A response tells a front
how many units other fronts were served for the volume since its last one (`X-Served-Elsewhere`), with a delay of 50 ms.
Error: the served rate relative to what contract and demand allow, minus one. Peak: the maximum of any one second,
relative to the same.
"""

from __future__ import annotations

import argparse
import random
from collections import deque

from ochrespan.contracts.adaptive_quota import AdaptiveQuota
from ochrespan.contracts.admission import Admission, Demand, Grant
from ochrespan.contracts.terms import Budget, Contract, ContractRegistry, Terms

from .machine import machine

BUDGET_UNITS_PER_S, UNITS_PER_REQUEST, STEP_S, REPORT_DELAY_S = 200.0, 2.0, 0.01, 0.05


class Front:
    """One front with its admission control and, in the mode `adaptive`, a quota that follows the load of the others."""

    def __init__(self, fronts: int, quota_mode: str) -> None:
        registry = ContractRegistry(None, fronts, 2.0, 1)
        registry.add(
            Contract(Terms("a", "team", budget=Budget(units_per_s=BUDGET_UNITS_PER_S)), "gold", frozenset({"read"}))
        )
        registry.set_owner("a", ["v"], ())
        self.admission = Admission(registry, 0.0)
        self.quota = AdaptiveQuota(BUDGET_UNITS_PER_S, fronts) if quota_mode == "adaptive" else None
        self.total_units = 0.0  # served by all fronts, as of its last report
        self.own_units = 0.0  # served by this front since then

    def send_request(self, now: float) -> bool:
        """Requests admission for one request; returns whether it was served."""
        decision = self.admission.admit(now, Demand("read", UNITS_PER_REQUEST, volume="v"))
        if not isinstance(decision, Grant):
            if self.quota:
                self.quota.record_refusal()
            return False
        self.admission.complete(now, decision, 1, 1)
        if self.quota:
            self.quota.record_spent(UNITS_PER_REQUEST)
        return True

    def receive_total(self, served_units: float) -> None:
        """Handles a report of the units that all fronts have served so far."""
        if self.quota:
            self.quota.record_spent_elsewhere(max(0.0, served_units - self.total_units - self.own_units))
        self.total_units, self.own_units = served_units, 0.0

    def update_quota(self, now: float) -> None:
        """Updates the front's fraction of the budget."""
        if self.quota and (fraction_of_budget := self.quota.update(now)) is not None:
            self.admission.rescale("a", fraction_of_budget, now)


def demand_fractions(fronts: int, pattern: str, now: float) -> list[float]:
    """The fraction of the demand that each front receives at a time."""
    if pattern == "even":
        return [1 / fronts] * fronts
    if pattern == "zipf":
        total = sum(1 / (i + 1) for i in range(fronts))
        return [1 / (i + 1) / total for i in range(fronts)]
    return [float(i == int(now // 15) % fronts) for i in range(fronts)]


def run(fronts: int, quota_mode: str, pattern: str, demand_units_per_s: float, seconds: float) -> tuple[float, float]:
    """Error and peak as the module describes them, both measured after the first 20 s."""
    random_source = random.Random(f"{fronts} {pattern} {demand_units_per_s}")
    all_fronts = [Front(fronts, quota_mode) for _ in range(fronts)]
    served_units, pending_reports = 0.0, deque[tuple[float, Front]]()
    units_by_second: list[float] = []
    for tick in range(int(seconds / STEP_S)):
        now = tick * STEP_S
        if tick % round(1 / STEP_S) == 0:
            units_by_second.append(0.0)
        while pending_reports and pending_reports[0][0] <= now:
            _, front = pending_reports.popleft()
            front.receive_total(served_units)
        for front, fraction in zip(all_fronts, demand_fractions(fronts, pattern, now), strict=True):
            mean_requests = demand_units_per_s * fraction * STEP_S / UNITS_PER_REQUEST
            for _ in range(int(mean_requests) + (random_source.random() < mean_requests % 1)):
                if front.send_request(now):
                    served_units += UNITS_PER_REQUEST
                    front.own_units += UNITS_PER_REQUEST
                    units_by_second[-1] += UNITS_PER_REQUEST
                    pending_reports.append((now + REPORT_DELAY_S, front))
            front.update_quota(now)
    measured = units_by_second[20:]
    allowed_units_per_s = min(BUDGET_UNITS_PER_S, demand_units_per_s)
    return sum(measured) / len(measured) / allowed_units_per_s - 1, max(measured) / allowed_units_per_s


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=120.0)
    options = parser.parse_args()
    print(f"{machine()}; budget {BUDGET_UNITS_PER_S:g} units a second, {options.seconds:g} virtual seconds")
    print("fronts  use      demand   even: error  peak    heard: error  peak")
    for fronts in (1, 2, 4, 8, 16, 32, 64):
        for pattern in ("even", "zipf", "moving"):
            for demand_units_per_s in (0.5 * BUDGET_UNITS_PER_S, 4 * BUDGET_UNITS_PER_S):
                even, adaptive = (
                    run(fronts, quota_mode, pattern, demand_units_per_s, options.seconds)
                    for quota_mode in ("even", "adaptive")
                )
                print(
                    f"{fronts:6}  {pattern:7}  {demand_units_per_s:6.0f}   {even[0]:+11.1%}  {even[1]:4.2f}    "
                    f"{adaptive[0]:+12.1%}  {adaptive[1]:4.2f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
