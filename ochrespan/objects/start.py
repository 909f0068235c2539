"""Creates the server of the object API."""

from __future__ import annotations

from datetime import timedelta

from ..net.http1 import Http1Server
from ..subsystem import CoreComponents, Subsystem
from .front import ObjectFront
from .section import ObjectsConfig
from .store import ChunkStore
from .uploads import Uploads


def start(section: ObjectsConfig, components: CoreComponents) -> Subsystem:
    """Builds the object API and returns its server with the address to listen on."""
    settings, links = components.config.settings, components.config.links
    deadlines = {cls.name: timedelta(seconds=cls.deadline) for cls in settings.classes.values()}
    store = ChunkStore(components.broker, components.client, links.shards, settings.max_units, deadlines)
    uploads = Uploads(store, links.rank, settings.fronts, section.min_part_bytes)
    front = ObjectFront(section, components.gate, store, uploads, components.lifecycle)
    components.handlers["objects"] = front.handle
    return Subsystem(fronts=[(Http1Server(front.handle, None), section.listen)])
