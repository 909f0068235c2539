"""RPC clients for the other processes of the fleet, whose connections stay open between calls."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ochrespan.common.addresses import Address

from .rpc import RpcClient


class PeerClients:
    """One RPC client for each peer, made when it is first called."""

    def __init__(self) -> None:
        self._clients: dict[Address, RpcClient] = {}

    def call(self, address: Address, request: Any, timeout: float) -> Any:
        """Calls the process at `address`.

        Args:
            address: Where the peer listens for calls.
            request: A registered message.
            timeout: Seconds.

        Returns:
            The message of the response.

        Raises:
            RpcError: There is no response.
        """
        if address not in self._clients:
            self._clients[address] = RpcClient(address)
        return self._clients[address].call(request, timeout)

    def keep_only(self, addresses: Iterable[Address]) -> None:
        """Closes the connections to all other processes."""
        for address in set(self._clients) - set(addresses):
            self._clients.pop(address).close()
