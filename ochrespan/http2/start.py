"""Starts the ports for HTTP/2, each before a front that runs on HTTP/1.1 too."""

from __future__ import annotations

from ..net.request_bodies import MAX_BODY_BYTES
from ..subsystem import CoreComponents, Subsystem
from .limits import BufferBudget
from .section import Http2
from .server import Http2Server


def start(section: Http2, core: CoreComponents) -> Subsystem:
    """The servers of the ports that the section names."""
    buffers, running = BufferBudget(section.buffered), Subsystem()
    aims = {cls.name: cls.latency_target for cls in core.config.settings.classes.values()}
    for name, address in section.listen.items():
        most_body = MAX_BODY_BYTES if name == "platform" else None
        server = Http2Server(
            core.handlers[name], most_body, core.lifecycle, section.limits, buffers, section.stall_timeout, aims
        )
        running.fronts.append((server, address))
        running.jobs.append(server.follow())
    return running
