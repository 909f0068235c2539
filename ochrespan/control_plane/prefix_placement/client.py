"""A router's knowledge of where prompts' shared parts are kept: asked of the service's owner once for each prefix."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence
from time import monotonic

from ochrespan.common.addresses import Address
from ochrespan.control_plane.owner_calls import Call, call_owner

from .messages import PrefixPlacement, PrefixPlacementRequest

RESPONSE_TIMEOUT_S = 0.15  # bodies of requests hold answers up on a narrow link; without one a request goes by a hash
OWNER_BACKOFF_S = 0.5  # where no owner answered, none is asked again for this long
UNKNOWN_PLACEMENT = PrefixPlacement("")
MAX_CACHED_PLACEMENTS = 8192  # prefixes; those used longest ago are forgotten


class PrefixPlacementClient:
    """`ask_at(service)` names the processes to ask in turn; `is_usable(service, instance)` is the table's word."""

    def __init__(
        self,
        ask_at: Callable[[str], Sequence[Address]],
        call: Call,
        is_usable: Callable[[str, str], bool],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._ask_at = ask_at
        self._call = call
        self._is_usable = is_usable
        self._clock = clock
        self._known: OrderedDict[tuple[str, str], PrefixPlacement] = OrderedDict()
        self._silent_until: dict[str, float] = {}

    def home(self, service: str, prefix: str, tokens: float) -> PrefixPlacement:
        """The instance that keeps the prefix, empty where nobody says; may wait for a short time."""
        key = (service, prefix)
        known = self._known.get(key, UNKNOWN_PLACEMENT)
        if known.instance and self._is_usable(service, known.instance):
            self._known.move_to_end(key)
            return known
        if self._clock() < self._silent_until.get(service, 0.0):
            return UNKNOWN_PLACEMENT
        found = self._ask(PrefixPlacementRequest(service, prefix, float(tokens), known.instance))
        if found is None:
            self._silent_until[service] = self._clock() + OWNER_BACKOFF_S
            return UNKNOWN_PLACEMENT
        if not found.instance or not self._is_usable(service, found.instance):
            return UNKNOWN_PLACEMENT
        self._known[key] = PrefixPlacement(found.instance)
        while len(self._known) > MAX_CACHED_PLACEMENTS:
            self._known.popitem(last=False)
        return found

    def _ask(self, request: PrefixPlacementRequest) -> PrefixPlacement | None:
        """The owner's word; None where no owner answered."""
        about = f"service={request.service}"
        return call_owner(
            self._call, self._ask_at(request.service), request, PrefixPlacement, RESPONSE_TIMEOUT_S, about
        )
