"""Starts the exporters that the operator's file names."""

from __future__ import annotations

from ..subsystem import CoreComponents, Subsystem
from .core_metrics import core_metrics
from .exporters import Collectd, Graphite
from .section import Metrics


def start(section: Metrics, core: CoreComponents) -> Subsystem:
    """One job for each exporter."""
    core.metric_sources.append(lambda: core_metrics(core.broker))
    exporters = [
        kind(sink, core.config.name, core.metric_sources)
        for kind, sink in ((Graphite, section.graphite), (Collectd, section.collectd))
        if sink is not None
    ]
    return Subsystem(jobs=[exporter.run() for exporter in exporters])
