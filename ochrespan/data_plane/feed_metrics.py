"""Metrics of a router's feed: the ages of version, offsets and followed controller."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ochrespan.common.addresses import format_address
from ochrespan.observability.metrics import MetricsRegistry

if TYPE_CHECKING:
    from ochrespan.control_plane.feed.progress import FeedProgress

NEVER_S = float("inf")  # age of what has not happened yet


def register_feed_metrics(registry: MetricsRegistry, progress: Callable[[], FeedProgress]) -> None:
    """Registers gauges that read the progress of the feed whenever they are collected."""
    registry.gauge(
        "ochrespan_configuration_version_age_seconds",
        "Since this version is in force.",
        lambda: _seconds(progress().version_age_s),
    )
    registry.gauge(
        "ochrespan_feed_current_age_seconds",
        "Since a controller confirmed that the feed is current.",
        lambda: _seconds(progress().current_age_s),
    )
    registry.gauges(
        "ochrespan_feed_controller_age_seconds",
        "Since this controller, or none, is followed.",
        ("controller",),
        lambda: _controller_age(progress()),
    )
    registry.gauges(
        "ochrespan_feed_offset",
        "Log index up to which the router has a shard.",
        ("shard",),
        lambda: {(str(each.shard),): each.offset for each in progress().shards},
    )
    registry.gauges(
        "ochrespan_feed_offset_age_seconds",
        "Since the offset last changed.",
        ("shard",),
        lambda: {(str(each.shard),): each.age_s for each in progress().shards},
    )


def _controller_age(progress: FeedProgress) -> dict[tuple[str, ...], float]:
    controller = "" if progress.controller is None else format_address(progress.controller)
    return {(controller,): progress.controller_age_s}


def _seconds(age_s: float | None) -> float:
    return NEVER_S if age_s is None else age_s
