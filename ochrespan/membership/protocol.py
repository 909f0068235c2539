"""SWIM membership with the refinements of Lifeguard, without I/O: probes, suspicion, refutation, local health.

Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
2002; Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018.

A process that misses acknowledgements, or has to refute a suspicion, may itself be the slow one. Its local health
multiplier then stretches its own time-outs, so that a process short of processor time doesn't declare healthy members
dead. A suspicion times out sooner the more processes suspect the same member.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from ochrespan.common.addresses import Address

from .member_table import FleetMember, MemberState, MemberTable, MemberUpdate
from .messages import Ack, Nack, Ping, PingRequest, SwimMessage, Sync

PROTOCOL_PERIOD_S = 0.5
PROBE_TIMEOUT_S = 0.2  # for the direct probe; the indirect ones have the rest of the period
INDIRECT_PROBES = 3  # members that are asked to probe on behalf of this process (SWIM's k)
NACK_FRACTION = 0.8  # an indirect probe without acknowledgement is reported after this fraction of the probe time-out
MAX_HEALTH_MULTIPLIER = 8
SUSPICION_PERIODS = 3  # minimal suspicion time-out in periods, times the logarithm of the fleet's size
SUSPICION_STRETCH = 4  # ratio of the maximal suspicion time-out to the minimal one
PINGED_SUSPECTS = 2
UPDATES_PER_MESSAGE = 10
UPDATES_PER_SYNC = 10
CONTACT_INTERVAL_S = 1.0  # between messages to seeds not known to be alive and to dead members, which may be back
SYNC_INTERVAL_S = 15.0
# After the start of a full fleet, gossip alone would take a while to reach every member. Doubles with each sync.
INITIAL_SYNC_INTERVAL_S = 2.5
# A later tick shows that this process was stalled: its time-outs are extended by the time that it missed.
MAX_TICK_DELAY_S = 0.3


@dataclass(slots=True)
class _Probe:
    """The probe of the current period. `nacks_missing`: members asked to probe that have sent no Nack."""

    target: Address
    sequence_number: int
    indirect_at: float
    ends_at: float
    nacks_missing: int = 0
    is_indirect: bool = False


@dataclass(slots=True)
class _RelayedProbe:
    """A probe on behalf of the process at `origin`, which knows it by `sequence_number`."""

    origin: Address
    sequence_number: int
    nack_at: float
    ends_at: float
    is_nack_sent: bool = False


class SwimProtocol:
    """The protocol state of one process.

    The owner calls `tick` at `next_tick_at` and `receive` for each message, and then calls `take_messages`
    and `take_has_changed`.

    Args:
        own_member: This process as a member.
        seeds: Where to look for other members.
        random_source: For probe targets, members that probe on behalf of this process, and sync times.
        now: Seconds of the clock that all calls use.
    """

    def __init__(
        self, own_member: FleetMember, seeds: tuple[Address, ...], random_source: random.Random, now: float
    ) -> None:
        self.table = MemberTable(own_member)
        self.local_health_multiplier = 0  # 0 is healthy; time-outs are stretched by 1 + multiplier
        self._seeds = tuple(seed for seed in seeds if seed != own_member.address)
        self._random = random_source
        self._outbox: list[tuple[Address, SwimMessage]] = []
        self._last_sequence_number = 0
        self._probe: _Probe | None = None
        self._relayed_probes: dict[int, _RelayedProbe] = {}
        self._probe_targets: list[Address] = []  # those still to be probed in this round
        self._period_ends_at = now
        self._contact_at = now
        self._sync_interval_s = INITIAL_SYNC_INTERVAL_S
        self._sync_at = now + INITIAL_SYNC_INTERVAL_S * random_source.uniform(0.5, 1.0)
        self._planned_tick_at = now

    @property
    def next_tick_at(self) -> float:
        """When the next tick is due."""
        times = [self._period_ends_at, self._contact_at]
        if self._probe and not self._probe.is_indirect:
            times.append(self._probe.indirect_at)
        times += [relayed.nack_at for relayed in self._relayed_probes.values() if not relayed.is_nack_sent]
        return min(times)

    def alive(self, role: str | None = None) -> list[FleetMember]:
        """This process, unless it is leaving, and the members that are alive or suspected, by address."""
        members = [record.member for record in self.table.alive_members()]
        if not self.table.is_leaving:
            members.append(self.table.own_member)
        return sorted((member for member in members if role in (None, member.role)), key=lambda member: member.address)

    def take_messages(self) -> list[tuple[Address, SwimMessage]]:
        """The messages to send and their receivers; each is handed out once."""
        messages, self._outbox = self._outbox, []
        return messages

    def take_has_changed(self) -> bool:
        """Returns whether the alive members have changed since the last call, and resets that."""
        has_changed = self.table.has_changed
        self.table.has_changed = False
        return has_changed

    def seeds_changed(self, seeds: tuple[Address, ...]) -> None:
        """Replaces the seeds; the members that are known stay."""
        self._seeds = tuple(seed for seed in seeds if seed != self.table.own_member.address)

    def leave(self) -> None:
        """Announces the planned shutdown to some members, which disseminate it to the others."""
        self.table.leave()
        for address in self._pick_members(INDIRECT_PROBES, exclude=None):
            self._send(address, Ping(self._next_sequence_number(), [self.table.own_update()]))

    def tick(self, now: float) -> None:
        """Runs the probes, time-outs and syncs that are due."""
        delay_s = now - self._planned_tick_at
        if delay_s > MAX_TICK_DELAY_S:
            self._extend_timeouts_after_stall(delay_s)
        if now >= self._contact_at:
            self._contact_seeds_and_dead(now)
        self._probe_indirectly_if_due(now)
        self._advance_relayed_probes(now)
        if now >= self._period_ends_at:
            self._start_next_period(now)
        self._planned_tick_at = self.next_tick_at

    def receive(self, now: float, peer: Address, message: SwimMessage) -> None:
        """Handles a message that came from `peer`."""
        match message:
            case Ping():
                self._merge(now, message.updates)
                self._send(peer, Ack(message.sequence_number, self._updates_for(peer)))
            case Ack():
                self._merge(now, message.updates)
                self._handle_ack(message.sequence_number)
            case Nack():
                if self._probe and message.sequence_number == self._probe.sequence_number:
                    self._probe.nacks_missing -= 1
            case PingRequest():
                self._merge(now, message.updates)
                self._relay_probe(now, peer, message)
            case Sync():
                self._merge(now, message.updates)
                if message.wants_reply:
                    self._sync_with(peer, wants_reply=False)
        if self.table.has_refuted:
            self.table.has_refuted = False
            self._degrade_local_health(1)

    # Probing

    def _start_next_period(self, now: float) -> None:
        if self._probe is not None:
            self._handle_failed_probe(now, self._probe)
        self._expire_suspicions(now)
        self.table.remove_departed(now)
        if now >= self._sync_at:
            self._sync_interval_s = min(SYNC_INTERVAL_S, 2 * self._sync_interval_s)
            self._sync_at = now + self._sync_interval_s * self._random.uniform(0.5, 1.0)
            for address in self._pick_members(1, exclude=None):
                self._sync_with(address, wants_reply=True)
        stretch = 1 + self.local_health_multiplier
        self._period_ends_at = now + PROTOCOL_PERIOD_S * stretch
        target = self._next_target()
        if target is not None:
            sequence_number = self._next_sequence_number()
            self._probe = _Probe(target, sequence_number, now + PROBE_TIMEOUT_S * stretch, self._period_ends_at)
            self._send(target, Ping(sequence_number, self._updates_for(target)))
        self._ping_suspects(target)

    def _ping_suspects(self, target: Address | None) -> None:
        """Pings some suspects apart from the period's target, so that they learn of it and can refute in time."""
        suspects = [
            record.member.address
            for record in self.table.alive_members()
            if record.state is MemberState.SUSPECT and record.member.address != target
        ]
        for address in self._random.sample(suspects, min(PINGED_SUSPECTS, len(suspects))):
            self._send(address, Ping(self._next_sequence_number(), self._updates_for(address)))

    def _probe_indirectly_if_due(self, now: float) -> None:
        probe = self._probe
        if probe is None or probe.is_indirect or now < probe.indirect_at:
            return
        probe.is_indirect = True
        intermediaries = self._pick_members(INDIRECT_PROBES, exclude=probe.target)
        probe.nacks_missing = len(intermediaries)
        for address in intermediaries:
            self._send(address, PingRequest(probe.sequence_number, *probe.target, self._updates_for(address)))

    def _handle_failed_probe(self, now: float, probe: _Probe) -> None:
        self._probe = None
        self.table.suspect(now, probe.target)
        self._degrade_local_health(probe.nacks_missing)

    def _handle_ack(self, sequence_number: int) -> None:
        if self._probe is not None and sequence_number == self._probe.sequence_number:
            self._probe = None
            self.local_health_multiplier = max(0, self.local_health_multiplier - 1)
        elif relayed := self._relayed_probes.pop(sequence_number, None):
            self._send(relayed.origin, Ack(relayed.sequence_number, []))

    def _relay_probe(self, now: float, origin: Address, request: PingRequest) -> None:
        own_sequence_number = self._next_sequence_number()
        self._relayed_probes[own_sequence_number] = _RelayedProbe(
            origin=origin,
            sequence_number=request.sequence_number,
            nack_at=now + PROBE_TIMEOUT_S * NACK_FRACTION,
            ends_at=now + PROTOCOL_PERIOD_S,
        )
        target = (request.host, request.port)
        self._send(target, Ping(own_sequence_number, self._updates_for(target)))

    def _advance_relayed_probes(self, now: float) -> None:
        for own_sequence_number, relayed in list(self._relayed_probes.items()):
            if now >= relayed.nack_at and not relayed.is_nack_sent:
                relayed.is_nack_sent = True
                self._send(relayed.origin, Nack(relayed.sequence_number))
            if now >= relayed.ends_at:
                del self._relayed_probes[own_sequence_number]

    def _expire_suspicions(self, now: float) -> None:
        for record in self.table.alive_members():
            if record.state is not MemberState.SUSPECT:
                continue
            if now - record.state_since >= self._suspicion_timeout_s(len(record.suspecting_members)):
                self.table.declare_dead(now, record.member.address)

    def _suspicion_timeout_s(self, suspecting_members: int) -> float:
        """Lifeguard's suspicion time-out: falls with the logarithm of the number of suspecting processes."""
        members = len(self.table.alive_members())
        min_timeout_s = (
            SUSPICION_PERIODS
            * max(1.0, math.log10(members + 1))
            * PROTOCOL_PERIOD_S
            * (1 + self.local_health_multiplier / 2)
        )
        expected = max(1, min(INDIRECT_PROBES, members - 1))
        confirmed = min(1.0, math.log(max(1, suspecting_members)) / math.log(expected)) if expected > 1 else 1.0
        return min_timeout_s * (1 + (SUSPICION_STRETCH - 1) * (1 - confirmed))

    def _next_target(self) -> Address | None:
        """The next alive member of the round-robin; each round has a new random order (SWIM, section 4.3)."""
        for _ in range(2):
            while self._probe_targets:
                address = self._probe_targets.pop()
                record = self.table.records.get(address)
                if record is not None and record.is_alive_or_suspect:
                    return address
            self._probe_targets = [record.member.address for record in self.table.alive_members()]
            self._random.shuffle(self._probe_targets)
        return None

    # Local health

    def _degrade_local_health(self, steps: int) -> None:
        self.local_health_multiplier = min(MAX_HEALTH_MULTIPLIER, self.local_health_multiplier + max(0, steps))

    def _extend_timeouts_after_stall(self, stalled_s: float) -> None:
        """Extends the current probe and the suspicions by the time that this process missed.

        Acknowledgements and refutations may have come meanwhile, and wait in the socket's buffer.
        """
        self._degrade_local_health(1)
        self._period_ends_at += stalled_s
        if self._probe is not None:
            self._probe.indirect_at += stalled_s
            self._probe.ends_at += stalled_s
        for record in self.table.alive_members():
            if record.state is MemberState.SUSPECT:
                record.state_since += stalled_s

    # Messages

    def _contact_seeds_and_dead(self, now: float) -> None:
        """Sends to the seeds that aren't known to be alive, and to one dead member: they may be up, or up again.

        Only one seed is asked for its table, as the reply grows with the fleet; the others only learn of this process.
        """
        self._contact_at = now + CONTACT_INTERVAL_S
        records = self.table.records
        unknown_seeds = [seed for seed in self._seeds if seed not in records or not records[seed].is_alive_or_suspect]
        dead = [
            address
            for address, record in records.items()
            if not record.is_alive_or_suspect and address not in unknown_seeds
        ]
        sync_requested = self._random.sample(unknown_seeds, min(1, len(unknown_seeds)))
        for seed in unknown_seeds:
            self._send(seed, Sync(seed in sync_requested, [self.table.own_update()]))
        for address in self._random.sample(dead, min(1, len(dead))):
            self._send(address, Sync(True, [self.table.own_update()]))

    def _sync_with(self, address: Address, wants_reply: bool) -> None:
        """Sends the full table in several messages, of which only the first asks for a reply."""
        updates = self.table.all_updates()
        for start in range(0, len(updates), UPDATES_PER_SYNC):
            self._send(address, Sync(wants_reply and start == 0, updates[start : start + UPDATES_PER_SYNC]))

    def _updates_for(self, address: Address) -> list[MemberUpdate]:
        """Updates to piggyback. An update about the receiver itself comes first, so that the receiver can refute it."""
        record = self.table.records.get(address)
        if record is None or record.state is MemberState.ALIVE:
            return self.table.next_updates(UPDATES_PER_MESSAGE)
        about_receiver = self.table.update_for(address)
        assert about_receiver is not None  # there is a record
        return [about_receiver, *self.table.next_updates(UPDATES_PER_MESSAGE - 1)]

    def _merge(self, now: float, updates: list[MemberUpdate]) -> None:
        for update in updates:
            self.table.merge(now, update)

    def _pick_members(self, count: int, exclude: Address | None) -> list[Address]:
        members = [record.member.address for record in self.table.alive_members() if record.member.address != exclude]
        return self._random.sample(members, min(count, len(members)))

    def _next_sequence_number(self) -> int:
        self._last_sequence_number += 1
        return self._last_sequence_number

    def _send(self, address: Address, message: SwimMessage) -> None:
        self._outbox.append((address, message))
