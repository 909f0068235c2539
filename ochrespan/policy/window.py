"""Congestion window of a server: wider while latency is near its minimum, narrower as it grows."""

from __future__ import annotations

MIN_WINDOW = 1.0  # requests; at least one has to be in flight to measure the latency of a server


def widened(window: float, cap: float) -> float:
    """Additive increase after a response near the lowest latency, while the window is fully used.

    The window grows by one request per window of responses.
    """
    return min(cap, window + 1.0 / window)


def narrowed(window: float) -> float:
    """Decrease after a response whose latency shows that requests queue at the server."""
    return max(MIN_WINDOW, window - 1.0 / window)
