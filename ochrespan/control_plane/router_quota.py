"""Joins a router's quota client to its feed, which knows the leaders of the tenants' shards and the live routers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..coordination.shards import shard_of
from ..transport.tcp import Address
from .control_service import Peers
from .feed_client import FeedClient
from .fleet_table import FleetTable
from .quota_client import QuotaClient
from .quota_owner import bounds_from


def quota_client_for(router: str, figures: Mapping[str, Any], feed: FeedClient, peers: Peers) -> QuotaClient:
    """The quota client of a router; `figures` are the `bounds` of its settings."""

    def ask_at(tenant: str) -> list[Address]:
        """The owner as the feed last told, then the controller that is followed, which may know of a new one."""
        known = (feed.leaders.get(shard_of(tenant)), feed.controller)
        return [address for address in known if address is not None]

    return QuotaClient(router, bounds_from(figures), ask_at, peers.call)


def configure_quotas(quotas: QuotaClient, table: FleetTable) -> None:
    """To be called with each new table."""
    quotas.configure(table.configuration.tenants, table.router_count)
