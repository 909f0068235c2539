"""Joins a router's clients of owners to its feed, which knows the leaders of the shards and the live routers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from ochrespan.common.addresses import Address
from ochrespan.control_plane.feed.client import FeedClient
from ochrespan.control_plane.feed.table import FleetTable
from ochrespan.control_plane.shards import shard_of
from ochrespan.transport.peer_clients import PeerClients

from .allocation import quota_bounds
from .client import QuotaClient


def owners_of(feed: FeedClient) -> Callable[[str], list[Address]]:
    """Who to ask about a tenant or service."""

    def ask_at(name: str) -> list[Address]:
        """The owner as the feed last told, then the controller that is followed, which may know of a new one."""
        known = (feed.leaders.get(shard_of(name)), feed.controller)
        return [address for address in known if address is not None]

    return ask_at


def quota_client_for(router: str, figures: Mapping[str, Any], feed: FeedClient, peers: PeerClients) -> QuotaClient:
    """The quota client of a router; `figures` are the `bounds` of its settings."""
    return QuotaClient(router, quota_bounds(figures), owners_of(feed), peers.call)


def configure_quotas(quotas: QuotaClient, table: FleetTable) -> None:
    """To be called with each new table."""
    quotas.configure(table.configuration.tenants, table.router_count)
