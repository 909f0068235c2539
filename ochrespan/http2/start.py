"""Creates the HTTP/2 servers; each serves a handler that is also served over HTTP/1.1."""

from __future__ import annotations

from ..net.request_bodies import MAX_BODY_BYTES
from ..subsystem import CoreComponents, Subsystem
from .limits import BufferBudget
from .section import Http2Config
from .server import Http2Server


def start(section: Http2Config, components: CoreComponents) -> Subsystem:
    """Builds the servers of the configured addresses, with a shared buffer budget."""
    buffers, subsystem = BufferBudget(section.max_buffered_bytes), Subsystem()
    latency_targets_s = {cls.name: cls.latency_target for cls in components.config.settings.classes.values()}
    for name, address in section.listen.items():
        max_body_bytes = MAX_BODY_BYTES if name == "platform" else None
        server = Http2Server(
            components.handlers[name],
            max_body_bytes,
            components.lifecycle,
            section.limits,
            buffers,
            section.stall_timeout,
            latency_targets_s,
        )
        subsystem.fronts.append((server, address))
        subsystem.jobs.append(server.follow_lifecycle())
    return subsystem
