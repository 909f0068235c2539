"""Starts the object API's front."""

from __future__ import annotations

from datetime import timedelta

from ..net.http1 import Http1Server
from ..subsystem import Core, Running
from .front import ObjectFront
from .section import Objects
from .store import ChunkStore
from .uploads import Uploads


def start(section: Objects, core: Core) -> Running:
    """The object API's server and its address."""
    settings, links = core.told.settings, core.told.links
    deadlines = {cls.name: timedelta(seconds=cls.deadline) for cls in settings.classes.values()}
    store = ChunkStore(core.broker, core.client, links.shards, settings.most_units, deadlines)
    uploads = Uploads(store, links.rank, settings.heads, section.least_part)
    front = ObjectFront(section, core.gate, store, uploads, core.lifecycle)
    core.handlers["objects"] = front.handle
    return Running(fronts=[(Http1Server(front.handle, None), section.listen)])
