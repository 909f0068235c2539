"""Connections to other processes of the fleet for calls, kept open between calls."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ochrespan.common.addresses import Address

from .rpc import RpcClient


class PeerClients:
    """One connection to each other controller, opened when it is first needed."""

    def __init__(self) -> None:
        self._callers: dict[Address, RpcClient] = {}

    def call(self, address: Address, request: Any, timeout: float) -> Any:
        """The reply of the process at `address`; raises RpcError."""
        if address not in self._callers:
            self._callers[address] = RpcClient(address)
        return self._callers[address].call(request, timeout)

    def keep_only(self, addresses: Iterable[Address]) -> None:
        """Closes the connections to processes that are gone."""
        for address in set(self._callers) - set(addresses):
            self._callers.pop(address).close()
