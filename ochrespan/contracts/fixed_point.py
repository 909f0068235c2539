"""Amounts as whole numbers, so that accounts add up to the last part.

Units and attempts are counted in parts of a millionth of a millionth, time in microseconds, and a rate in parts a
microsecond. Whole numbers have no rounding that a long sum could gather: granted = spent + held + left holds exactly.
"""

from __future__ import annotations

PICO = 10**12  # of one unit, or of one attempt
MICROS_PER_S = 10**6  # of one second


def to_pico(from_pico: float) -> int:
    """Units or attempts as a whole number of parts."""
    return round(from_pico * PICO)


def from_pico(amount: int) -> float:
    """Parts as units or attempts again."""
    return amount / PICO


def pico_per_us(units_per_s: float) -> int:
    """Parts a microsecond: the smallest rate that can be told is a millionth of a unit a second."""
    return round(units_per_s * (PICO // MICROS_PER_S))


def to_micros(now: float) -> int:
    """Unix time in seconds as whole microseconds."""
    return int(now * MICROS_PER_S)
