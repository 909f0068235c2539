"""The messages between routers and the owners of services about where prompts' shared parts are kept."""

from __future__ import annotations

from dataclasses import dataclass

from ochrespan.transport.codec import message


@message("home.ask")
@dataclass(slots=True)
class PrefixPlacementRequest:
    """A router meets shared parts of a prompt whose server it does not know, or whose server it cannot use."""

    service: str
    prefix: str
    tokens: float
    unusable: str = ""  # an instance that the router cannot use


@message("home.is")
@dataclass(slots=True)
class PrefixPlacement:
    """The instance that keeps the shared parts; empty where the service has none."""

    instance: str
    is_new: bool = False  # placed by this question: the instance has still to read the parts
