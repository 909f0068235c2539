"""Fixed-point amounts, so that accounts balance exactly.

Units and attempts are integers in 10^-12 of a unit ("pico"), times are integers in microseconds, and rates are pico
per microsecond. Integers accumulate no rounding error: granted = spent + held + left holds exactly.
"""

from __future__ import annotations

PICO = 10**12  # per unit or attempt
MICROS_PER_S = 10**6


def to_pico(from_pico: float) -> int:
    """Converts units or attempts to pico."""
    return round(from_pico * PICO)


def from_pico(amount: int) -> float:
    """Converts pico to units or attempts."""
    return amount / PICO


def pico_per_us(units_per_s: float) -> int:
    """Converts a rate to pico per microsecond; the resolution is 10^-6 units per second."""
    return round(units_per_s * (PICO // MICROS_PER_S))


def to_micros(now: float) -> int:
    """Converts Unix time in seconds to integer microseconds."""
    return int(now * MICROS_PER_S)
