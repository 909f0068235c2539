"""Metrics of a controller. Their names, labels and help texts are part of its interface."""

from __future__ import annotations

from collections.abc import Callable

from ochrespan.control_plane.feed.live_routers import LiveRouters
from ochrespan.control_plane.replication.groups import ReplicaGroups
from ochrespan.observability.metrics import MetricsRegistry

from .control_state import ControlState
from .shards import ALL_SHARDS


def register_controller_metrics(
    registry: MetricsRegistry, groups: ReplicaGroups, state: ControlState, live_routers: LiveRouters
) -> None:
    """Registers gauges that read the state of the controller whenever they are collected."""
    _register_state(registry, state, live_routers)
    _register_shards(registry, groups)


def _register_state(registry: MetricsRegistry, state: ControlState, live_routers: LiveRouters) -> None:
    registry.gauge(
        "ochrespan_configuration_version", "The newest known one.", lambda: state.configuration.current.version
    )
    registry.gauge("ochrespan_instances", "Registered servers.", lambda: len(state.records()))
    registry.gauge("ochrespan_routers", "Living routers.", lambda: len(live_routers.routers()))
    registry.gauge("ochrespan_feed_readers", "Routers that read here.", lambda: len(live_routers.subscribers()))


def _register_shards(registry: MetricsRegistry, groups: ReplicaGroups) -> None:
    labels = ("shard",)
    registry.gauges(
        "ochrespan_shard_leads", "Whether this controller leads it.", labels, lambda: _of_all_shards(groups.is_leader)
    )
    registry.gauges(
        "ochrespan_shard_offset", "Log index that is applied.", labels, lambda: _of_all_shards(groups.applied_index)
    )
    registry.gauges(
        "ochrespan_shard_quorum_age_seconds",
        "Since a majority was heard of.",
        labels,
        lambda: _of_all_shards(groups.seconds_since_quorum),
    )
    registry.gauges(
        "ochrespan_shard_bearable_losses",
        "Voters that may be lost now, of shards led here.",
        labels,
        lambda: _of_led_shards(groups.failures_tolerated),
    )


def _of_all_shards(read: Callable[[int], float]) -> dict[tuple[str, ...], float]:
    """The values of a metric for all shards, by label."""
    return {(str(shard),): read(shard) for shard in ALL_SHARDS}


def _of_led_shards(read: Callable[[int], int | None]) -> dict[tuple[str, ...], float]:
    """The values of a metric for the shards led here, by label; `read` returns None for other shards."""
    return {(str(shard),): value for shard in ALL_SHARDS if (value := read(shard)) is not None}
