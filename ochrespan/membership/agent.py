"""The SWIM agent of a process: sends and receives datagrams and drives the protocol's clock."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
from gevent.event import Event

from ochrespan.common.addresses import Address, format_address
from ochrespan.transport.udp import DatagramEndpoint

from .member_table import FleetMember
from .peer_addresses import PeerSettings, peer_address, seed_peer_addresses
from .protocol import SwimProtocol
from .wire import SwimDatagram, pack, unpack

log = logging.getLogger(__name__)


MIN_WAIT_S = 0.01
CONTROLLER_ROLE = "controller"
ROUTER_ROLE = "router"


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """`address` and `seeds`: IP and first port of `port_range`."""

    address: Address
    seeds: tuple[Address, ...]
    role: str
    zone: str
    node: str


def membership_settings(settings: PeerSettings, role: str) -> MembershipSettings:
    """What membership needs of a process's settings."""
    seeds = tuple(seed_peer_addresses(settings))
    return MembershipSettings(peer_address(settings), seeds, role, settings["zone"], settings["node"])


class MembershipAgent:
    """Keeps the list of the fleet's living processes. `on_change()` runs after each change of it."""

    def __init__(self, settings: MembershipSettings, on_change: Callable[[], None]) -> None:
        own = FleetMember(settings.address, settings.role, settings.zone, settings.node)
        self._on_change = on_change
        self._protocol = SwimProtocol(own, settings.seeds, random.SystemRandom(), time.monotonic())
        self._endpoint = DatagramEndpoint(settings.address, self._received)
        self._wake = Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        self._endpoint.start()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Tells the fleet of the planned end."""
        self._protocol.leave()
        self._send()
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._endpoint.stop()

    def seeds_changed(self, seeds: Iterable[Address]) -> None:
        """The settings name other seeds."""
        self._protocol.seeds_changed(tuple(seeds))

    def routers(self) -> list[str]:
        """The names of the living routers."""
        return [member.node for member in self._protocol.alive(ROUTER_ROLE)]

    def controllers(self) -> dict[Address, str]:
        """The living controllers and their zones."""
        return {member.address: member.zone for member in self._protocol.alive(CONTROLLER_ROLE)}

    def alive(self, role: str | None = None) -> list[FleetMember]:
        """The living members of a role, or of all, this process among them."""
        return self._protocol.alive(role)

    def _run(self) -> None:
        while True:
            self._protocol.tick(time.monotonic())
            self._send()
            self._tell()
            self._wake.clear()
            self._wake.wait(max(MIN_WAIT_S, self._protocol.next_at - time.monotonic()))

    def _received(self, datagram: SwimDatagram, peer: Address) -> None:
        try:
            value = unpack(datagram)
        except (ValueError, TypeError, IndexError, AttributeError) as error:
            log.warning("bad membership message peer=%s error=%r", format_address(peer), error)
            return
        expected = self._protocol.next_at
        self._protocol.receive(time.monotonic(), peer, value)
        self._send()
        self._tell()
        if self._protocol.next_at < expected:
            self._wake.set()

    def _send(self) -> None:
        for address, value in self._protocol.take_messages():
            self._endpoint.send(pack(value), address)

    def _tell(self) -> None:
        if self._protocol.take_changed():
            members = self._protocol.alive()
            log.info("membership members=%d", len(members))
            self._on_change()
