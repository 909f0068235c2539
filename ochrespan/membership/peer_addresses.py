"""Where the processes of the fleet listen for each other: on the first port of the settings' port range."""

from __future__ import annotations

from typing import TypedDict

from ochrespan.common.addresses import Address, parse_address


class PeerSettings(TypedDict):
    """The part of the settings that a process needs to find the others."""

    node: str
    ip: str
    zone: str
    port_range: list[int]
    seeds: list[str]


def peer_address(settings: PeerSettings) -> Address:
    """Where this process listens for other processes of the fleet."""
    return settings["ip"], settings["port_range"][0]


def seed_peer_addresses(settings: PeerSettings) -> list[Address]:
    """Where the seeds listen for other processes of the fleet."""
    return [(parse_address(seed)[0], settings["port_range"][0]) for seed in settings["seeds"]]
