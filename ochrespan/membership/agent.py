"""The SWIM agent of a process: owns the datagram socket and the clock, and drives `SwimProtocol` with both.

`SwimProtocol` is not thread-safe and doesn't yield: the greenlet of `_run` and those of received datagrams call it
one after the other.
"""

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

from .errors import MalformedMessageError
from .member_table import FleetMember
from .peer_addresses import PeerSettings, peer_address, seed_peer_addresses
from .protocol import SwimProtocol
from .wire import SwimDatagram, pack, unpack

log = logging.getLogger(__name__)

MIN_WAIT_S = 0.01  # between two ticks
CONTROLLER_ROLE = "controller"
ROUTER_ROLE = "router"


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """The settings that the agent needs. `address` and `seeds`: IP and first port of `port_range`."""

    address: Address
    seeds: tuple[Address, ...]
    role: str
    zone: str
    node: str


def membership_settings(settings: PeerSettings, role: str) -> MembershipSettings:
    """The part of a process's settings that membership needs; `role` is CONTROLLER_ROLE or ROUTER_ROLE."""
    return MembershipSettings(
        address=peer_address(settings),
        seeds=tuple(seed_peer_addresses(settings)),
        role=role,
        zone=settings["zone"],
        node=settings["node"],
    )


class MembershipAgent:
    """Maintains the list of the fleet's alive processes.

    Args:
        settings: This process as a member, and the seeds.
        on_change: Called without arguments after each change of the list, in the greenlet that detected the change.
    """

    def __init__(self, settings: MembershipSettings, on_change: Callable[[], None]) -> None:
        own_member = FleetMember(settings.address, settings.role, settings.zone, settings.node)
        self._on_change = on_change
        self._protocol = SwimProtocol(own_member, settings.seeds, random.SystemRandom(), time.monotonic())
        self._endpoint = DatagramEndpoint(settings.address, self._received)
        self._wake = Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Opens the socket and starts probing."""
        self._endpoint.start()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Announces the planned shutdown to some members, then closes the socket."""
        self._protocol.leave()
        self._send_messages()
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._endpoint.stop()

    def seeds_changed(self, seeds: Iterable[Address]) -> None:
        """Replaces the seeds by those of reloaded settings; known members are retained."""
        self._protocol.seeds_changed(tuple(seeds))

    def routers(self) -> list[str]:
        """The node names of the alive routers."""
        return [member.node for member in self._protocol.alive(ROUTER_ROLE)]

    def controllers(self) -> dict[Address, str]:
        """The zones of the alive controllers by address."""
        return {member.address: member.zone for member in self._protocol.alive(CONTROLLER_ROLE)}

    def alive(self, role: str | None = None) -> list[FleetMember]:
        """The alive members with a role, or of all roles where it is None, this process included."""
        return self._protocol.alive(role)

    def _run(self) -> None:
        while True:
            try:
                self._step()
            except Exception:  # noqa: BLE001 - whatever fails, without this loop the process would be taken for dead
                log.exception("membership step failed, continuing")
            self._wake.clear()
            self._wake.wait(max(MIN_WAIT_S, self._protocol.next_tick_at - time.monotonic()))

    def _step(self) -> None:
        self._protocol.tick(time.monotonic())
        self._send_messages()
        self._notify_of_change()

    def _received(self, datagram: SwimDatagram, peer: Address) -> None:
        try:
            value = unpack(datagram)
        except MalformedMessageError as error:
            log.warning("malformed membership message peer=%s error=%r", format_address(peer), error)
            return
        planned_tick_at = self._protocol.next_tick_at
        self._protocol.receive(time.monotonic(), peer, value)
        self._send_messages()
        self._notify_of_change()
        if self._protocol.next_tick_at < planned_tick_at:
            self._wake.set()  # `_run` waits for a later tick than the one that is due now

    def _send_messages(self) -> None:
        for address, value in self._protocol.take_messages():
            self._endpoint.send(pack(value), address)

    def _notify_of_change(self) -> None:
        if self._protocol.take_has_changed():
            log.info("membership changed members=%d", len(self._protocol.alive()))
            self._on_change()
