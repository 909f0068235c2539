"""How far budgets parted among fronts that share nothing are off, at 1 to 64 fronts with uneven use.

    python -m benchmarks.front_parts [--seconds 120]

Every front runs the real admissions on one virtual clock, and one team asks through them for more than its budget, or
for half of it, with its requests spread evenly, by Zipf's law, or through one front that changes every 15 s. An
answer tells a front what others were served for the volume since the last one (`X-Served-Elsewhere`), 50 ms late.
Error: what the team got over what its contract and its demand allow, less one. Peak: the most in any one second.
"""

from __future__ import annotations

import argparse
import random
from collections import deque

from ochrespan.contracts.adaptive_quota import AdaptiveQuota
from ochrespan.contracts.admission import Admission, Demand, Grant
from ochrespan.contracts.terms import Budget, Contract, ContractRegistry, Terms

from .machine import machine

RATE, UNITS, STEP, LATE = 200.0, 2.0, 0.01, 0.05


class Front:
    """One front with its admissions, and what it has heard of the others."""

    def __init__(self, fronts: int, parts: str) -> None:
        book = ContractRegistry(None, fronts, 2.0, 1)
        book.add(Contract(Terms("a", "team", budget=Budget(units_per_s=RATE)), "gold", frozenset({"read"})))
        book.set_owner("a", ["v"], ())
        self.admission = Admission(book, 0.0)
        self.part = AdaptiveQuota(RATE, fronts) if parts == "heard" else None
        self.told = 0.0  # of what all were served, as of its last answer
        self.mine = 0.0  # of that, its own

    def ask(self, now: float) -> bool:
        """One request; whether it was served."""
        got = self.admission.admit(now, Demand("read", UNITS, volume="v"))
        if not isinstance(got, Grant):
            if self.part:
                self.part.record_refusal()
            return False
        self.admission.complete(now, got, 1, 1)
        if self.part:
            self.part.record_spent(UNITS)
        return True

    def hear(self, served: float) -> None:
        """An answer that tells how much all fronts have served so far."""
        if self.part:
            self.part.record_spent_elsewhere(max(0.0, served - self.told - self.mine))
        self.told, self.mine = served, 0.0

    def step(self, now: float) -> None:
        """Lets its share of the budget move."""
        if self.part and (scale := self.part.update(now)) is not None:
            self.admission.rescale("a", scale, now)


def weights(fronts: int, shape: str, now: float) -> list[float]:
    """Which part of the demand comes through each front."""
    if shape == "even":
        return [1 / fronts] * fronts
    if shape == "zipf":
        whole = sum(1 / (i + 1) for i in range(fronts))
        return [1 / (i + 1) / whole for i in range(fronts)]
    return [float(i == int(now // 15) % fronts) for i in range(fronts)]


def run(fronts: int, parts: str, shape: str, demand: float, seconds: float) -> tuple[float, float]:
    """The error, and the peak over the allowed, both after the first 20 s."""
    lot = random.Random(f"{fronts} {shape} {demand}")
    room = [Front(fronts, parts) for _ in range(fronts)]
    served, answers = 0.0, deque[tuple[float, Front]]()
    by_second: list[float] = []
    for tick in range(int(seconds / STEP)):
        now = tick * STEP
        if tick % round(1 / STEP) == 0:
            by_second.append(0.0)
        while answers and answers[0][0] <= now:
            _, front = answers.popleft()
            front.hear(served)
        for front, weight in zip(room, weights(fronts, shape, now), strict=True):
            mean = demand * weight * STEP / UNITS
            for _ in range(int(mean) + (lot.random() < mean % 1)):
                if front.ask(now):
                    served += UNITS
                    front.mine += UNITS
                    by_second[-1] += UNITS
                    answers.append((now + LATE, front))
            front.step(now)
    later = by_second[20:]
    allowed = min(RATE, demand)
    return sum(later) / len(later) / allowed - 1, max(later) / allowed


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=120.0)
    chosen = parser.parse_args()
    print(f"{machine()}; budget {RATE:g} units a second, {chosen.seconds:g} virtual seconds")
    print("fronts  use      demand   even: error  peak    heard: error  peak")
    for fronts in (1, 2, 4, 8, 16, 32, 64):
        for shape in ("even", "zipf", "moving"):
            for demand in (0.5 * RATE, 4 * RATE):
                even, heard = (run(fronts, parts, shape, demand, chosen.seconds) for parts in ("even", "heard"))
                print(
                    f"{fronts:6}  {shape:7}  {demand:6.0f}   {even[0]:+11.1%}  {even[1]:4.2f}    "
                    f"{heard[0]:+12.1%}  {heard[1]:4.2f}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
