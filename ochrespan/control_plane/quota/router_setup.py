"""Connects a router's owner clients to its change feed, which names the shard leaders and counts the live routers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ochrespan.common.addresses import Address
from ochrespan.control_plane.feed.client import FeedClient
from ochrespan.control_plane.feed.table import FleetTable
from ochrespan.control_plane.owner_calls import OwnerClient
from ochrespan.control_plane.shards import shard_of
from ochrespan.transport.peer_clients import PeerClients

from .allocation import quota_bounds
from .client import QuotaClient


def owner_client_for(feed: FeedClient, peers: PeerClients) -> OwnerClient:
    """Returns a client that calls the shard leaders named by the feed."""

    def candidates(name: str) -> list[Address]:
        """The shard's leader as last named by the feed, then the followed controller, which may know a newer leader."""
        known = (feed.leaders.get(shard_of(name)), feed.controller)
        return [address for address in known if address is not None]

    return OwnerClient(candidates, peers.call)


def quota_client_for(router: str, bounds: Mapping[str, Any], owners: OwnerClient) -> QuotaClient:
    """Returns the quota client of a router; `bounds` is the section of that name in the router's settings."""
    return QuotaClient(router, quota_bounds(bounds), owners)


def configure_quotas(quotas: QuotaClient, table: FleetTable) -> None:
    """Passes the tenants and the router count of a new table to the quota client."""
    quotas.configure(table.configuration.tenants, table.router_count)
