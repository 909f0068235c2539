"""Calls from a router to the owner of a tenant or service: the leader of the shard that its name belongs to.

A router knows the leaders from the change feed, which may be out of date. A controller that is not the owner responds
with a `NotOwnerResponse`, which names the owner if known, so that calls reach a new leader before the feed names it.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from ochrespan.common.addresses import Address
from ochrespan.transport.codec import message
from ochrespan.transport.rpc import RpcError

log = logging.getLogger(__name__)


MAX_OWNER_CALLS = 3

Call = Callable[[Address, Any, float], Any]  # address, request, timeout in seconds -> response; raises RpcError
Response = TypeVar("Response")


@dataclass(frozen=True, slots=True)
class OwnerClient:
    """Sends requests to the owners of names.

    Attributes:
        candidates: Returns the controllers to call for a name, in order: the last known owner, then others that may
            know a newer one.
        call: Sends a request to an address and returns the response, or raises `RpcError`.
    """

    candidates: Callable[[str], Sequence[Address]]
    call: Call

    def request(
        self, name: str, request: Any, response_type: type[Response], timeout_s: float, log_fields: str
    ) -> Response | None:
        """Calls the candidates until one returns a response of `response_type`, each at most once.

        An owner that a `NotOwnerResponse` names is called next.

        Args:
            name: The tenant or service whose owner is called.
            request: The message to send.
            response_type: The type of an owner's response.
            timeout_s: Time-out of each call, in seconds.
            log_fields: Identifies the request in log lines, as `key=value`.

        Returns:
            The owner's response; None if no owner responded to at most `MAX_OWNER_CALLS` calls.
        """
        pending = list(self.candidates(name))
        called = set[Address]()
        while pending and len(called) < MAX_OWNER_CALLS:
            address = pending.pop(0)
            if address in called:
                continue
            called.add(address)
            try:
                response = self.call(address, request, timeout_s)
            except RpcError as error:
                log.info(
                    "owner call failed response=%s %s error=%r",
                    response_type.__name__.lower(), log_fields, str(error),
                )  # fmt: skip
                continue
            if isinstance(response, response_type):
                return response
            if isinstance(response, NotOwnerResponse) and response.ip:
                pending.insert(0, (response.ip, response.port))
        return None


@message("quota.elsewhere")
@dataclass(slots=True)
class NotOwnerResponse:
    """The called process does not own the name; `ip` and `port` of the owner, an empty `ip` if it is not known."""

    ip: str = ""
    port: int = 0
