"""How many requests may be out at a server: more while latency is near the best, fewer as it grows."""

from __future__ import annotations

MIN_WINDOW = 1.0  # requests: what is known of a server has to be learnt with at least one


def widened(window: float, cap: float) -> float:
    """After an answer near the best latency, with the window in full use: by one per window of answers."""
    return min(cap, window + 1.0 / window)


def narrowed(window: float) -> float:
    """After an answer that shows a queue."""
    return max(MIN_WINDOW, window - 1.0 / window)
