"""Starts the exporters that the operator's file names."""

from __future__ import annotations

from ..subsystem import Core, Running
from .exporters import Collectd, Graphite
from .readings import readings
from .section import Metrics


def start(section: Metrics, core: Core) -> Running:
    """One job for each exporter."""
    core.figures.append(lambda: readings(core.broker))
    exporters = [
        kind(sink, core.told.name, core.figures)
        for kind, sink in ((Graphite, section.graphite), (Collectd, section.collectd))
        if sink is not None
    ]
    return Running(jobs=[exporter.run() for exporter in exporters])
