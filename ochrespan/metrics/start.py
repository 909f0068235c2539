"""Starts the exporters configured in the operator's file."""

from __future__ import annotations

from ..running import Core, Running
from .core_metrics import core_metrics
from .exporters import Collectd, Graphite
from .section import Metrics


def start(section: Metrics, core: Core) -> Running:
    """Creates one job for each configured exporter."""
    core.figures.append(lambda: core_metrics(core.broker))
    exporters = [
        kind(sink, core.told.name, core.figures)
        for kind, sink in ((Graphite, section.graphite), (Collectd, section.collectd))
        if sink is not None
    ]
    return Running(jobs=[exporter.run() for exporter in exporters])
