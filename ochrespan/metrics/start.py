"""Starts the exporters that the operator's file names."""

from __future__ import annotations

from ..subsystem import CoreComponents, Subsystem
from .exporters import Collectd, Graphite
from .readings import readings
from .section import Metrics


def start(section: Metrics, core: CoreComponents) -> Subsystem:
    """One job for each exporter."""
    core.metric_sources.append(lambda: readings(core.broker))
    exporters = [
        kind(sink, core.config.name, core.metric_sources)
        for kind, sink in ((Graphite, section.graphite), (Collectd, section.collectd))
        if sink is not None
    ]
    return Subsystem(jobs=[exporter.run() for exporter in exporters])
