"""Calls from a router to the owner of a name: the leader of the name's shard, as far as it is known."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

from ochrespan.common.addresses import Address
from ochrespan.transport.codec import message
from ochrespan.transport.rpc import RpcError

log = logging.getLogger(__name__)


MAX_OWNER_CALLS = 3

Call = Callable[[Address, Any, float], Any]  # the reply of the process at an address; raises RpcError
Reply = TypeVar("Reply")


def call_owner(
    call: Call, addresses: Iterable[Address], request: Any, reply_type: type[Reply], timeout: float, about: str
) -> Reply | None:
    """The first reply of this type. An owner that another process names is asked next, and nobody is asked twice.

    `about` names the request in the log.
    """
    waiting, asked = list(addresses), set[Address]()
    while waiting and len(asked) < MAX_OWNER_CALLS:
        address = waiting.pop(0)
        if address in asked:
            continue
        asked.add(address)
        try:
            reply = call(address, request, timeout)
        except RpcError as error:
            log.info("no %s %s error=%r", reply_type.__name__.lower(), about, str(error))
            continue
        if isinstance(reply, reply_type):
            return reply
        if isinstance(reply, NotOwnerResponse) and reply.ip:
            waiting.insert(0, (reply.ip, reply.port))
    return None


@message("quota.elsewhere")
@dataclass(slots=True)
class NotOwnerResponse:
    """This process does not own the tenant; the address of the owner, if it is known."""

    ip: str = ""
    port: int = 0
