"""The messages between routers and the owners of services about the placement of prefixes.

The names and the order of the fields are part of the wire format.
"""

from __future__ import annotations

from dataclasses import dataclass

from ochrespan.transport.codec import message


@message("home.ask")
@dataclass(slots=True)
class PrefixPlacementRequest:
    """A router asks for the placement of a prefix that it has not cached, or whose instance it cannot use.

    Attributes:
        service: The service that the prompt is for.
        prefix: Identifies the shared prefix of prompts.
        tokens: The length of the prefix in tokens.
        unusable: An instance that the router cannot use; empty where there is none.
    """

    service: str
    prefix: str
    tokens: float
    unusable: str = ""


@message("home.is")
@dataclass(slots=True)
class PrefixPlacement:
    """The instance that a prefix is placed on.

    Attributes:
        instance: Id of the instance; empty if the service has no ready instance.
        is_new: Whether this request caused the placement: the instance has not cached the prefix yet.
    """

    instance: str
    is_new: bool = False
