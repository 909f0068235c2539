"""The router's cache of prefix placements: it calls the service's owner only for prefixes that it has not cached."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from time import monotonic

from ochrespan.control_plane.owner_calls import OwnerClient

from .messages import PrefixPlacement, PrefixPlacementRequest

# Request bodies delay responses on a slow link. Without a response the router chooses an instance by a hash.
RESPONSE_TIMEOUT_S = 0.15
OWNER_BACKOFF_S = 0.5  # no owner of a service is called for this long after a call without a response
UNKNOWN_PLACEMENT = PrefixPlacement("")
MAX_CACHED_PLACEMENTS = 8192  # the least recently used are evicted


class PrefixPlacementClient:
    """Locates the instance that serves a prefix, from the cache or from the service's owner.

    Args:
        owners: Calls the owners of services.
        is_usable: Whether an instance (second argument) of a service (first) is in the router's table and usable.
        clock: Returns the present time in seconds, monotonic.
    """

    def __init__(
        self,
        owners: OwnerClient,
        is_usable: Callable[[str, str], bool],
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self._owners = owners
        self._is_usable = is_usable
        self._clock = clock
        self._cache: OrderedDict[tuple[str, str], PrefixPlacement] = OrderedDict()
        self._backoff_until: dict[str, float] = {}  # by service

    def locate(self, service: str, prefix: str, tokens: float) -> PrefixPlacement:
        """Returns the placement of a prefix; may wait for calls to the owner, RESPONSE_TIMEOUT_S each.

        Args:
            service: The service that the prompt is for.
            prefix: Identifies the shared prefix.
            tokens: The length of the prefix in tokens.

        Returns:
            The placement; its instance is empty if no owner responded or if the placed instance is not usable.
        """
        key = (service, prefix)
        cached = self._cache.get(key, UNKNOWN_PLACEMENT)
        if cached.instance and self._is_usable(service, cached.instance):
            self._cache.move_to_end(key)
            return cached
        if self._clock() < self._backoff_until.get(service, 0.0):
            return UNKNOWN_PLACEMENT
        placement = self._request(PrefixPlacementRequest(service, prefix, float(tokens), cached.instance))
        if placement is None:
            self._backoff_until[service] = self._clock() + OWNER_BACKOFF_S
            return UNKNOWN_PLACEMENT
        if not placement.instance or not self._is_usable(service, placement.instance):
            return UNKNOWN_PLACEMENT
        self._cache[key] = PrefixPlacement(placement.instance)  # without `is_new`, which holds for this request only
        while len(self._cache) > MAX_CACHED_PLACEMENTS:
            self._cache.popitem(last=False)
        return placement

    def _request(self, request: PrefixPlacementRequest) -> PrefixPlacement | None:
        service = request.service
        return self._owners.request(service, request, PrefixPlacement, RESPONSE_TIMEOUT_S, f"service={service}")
