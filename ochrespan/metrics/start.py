"""Starts the exporters that the operator's file names."""

from __future__ import annotations

from ..subsystem import CoreComponents, Subsystem
from .core_metrics import core_metrics
from .exporters import Collectd, Graphite
from .section import Metrics


def start(section: Metrics, components: CoreComponents) -> Subsystem:
    """One job for each exporter."""
    components.metric_sources.append(lambda: core_metrics(components.broker))
    exporters = [
        kind(sink, components.config.name, components.metric_sources)
        for kind, sink in ((Graphite, section.graphite), (Collectd, section.collectd))
        if sink is not None
    ]
    return Subsystem(jobs=[exporter.run() for exporter in exporters])
