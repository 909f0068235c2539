"""The replicas of several groups in one process: one envelope per peer and step, one write for all groups."""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from .configuration import Member
from .core import DurableChange, DurableState, Role, Timing
from .formation import ASK_INTERVAL_S, Formation, FormationSettings, Found, Identity, Join, JoinReply, Leave
from .log import Snapshot
from .messages import Address, Append, Heartbeat, SnapshotChunk
from .replica import Replica

log = logging.getLogger(__name__)

PROCESS = -1  # in place of a group's number: messages between processes
LEADER_LOST_S = 0.5  # a replica that isn't a voter asks again when no leader was heard for this long
LEAVE_INTERVAL_S = 0.1
LONGEST_EXCHANGE_S = 0.4  # a leader that ends as planned waits no longer for a spare to become a voter
STEADY_S = 5.0  # a voter heard for this long may be handed the groups that it should lead
HAND_OVER_INTERVAL_S = 1.0


@dataclass(slots=True)
class Envelope:
    """All that one process has for another at a moment. `to`: the receiver's replica id, 0 if it isn't known."""

    cluster: int
    sender: int
    address: Address
    to: int
    frames: list[tuple[int, Any]] = field(default_factory=list)


class GroupTable:
    """Routes messages to the replicas and collects what they send and write."""

    def __init__(
        self, settings: FormationSettings, groups: tuple[int, ...], known: Identity | None,
        durable: dict[int, DurableState], source: random.Random, now: float, timing: Timing | None = None,
    ) -> None:
        self.settings, self.timing = settings, timing or Timing()
        self.formation = Formation.begin(settings, known, source)
        self.addresses: dict[int, Address] = {}
        self.contacts: set[Address] = set(settings.seeds)
        self._random = source
        self._process_outbox: list[tuple[Address, int, Any]] = []
        self._ask_at = self._balance_at = now
        self._identity_written = known
        self._leave_at = self._hand_over_at = float("inf")
        smallest = 2 * settings.tolerated + 1
        self.replicas = {
            group: Replica(group, self.id, durable.get(group) or DurableState(), source, self.timing, smallest, now)
            for group in groups
        }
        if known is None and self.formation.founders:
            self._form()

    @property
    def id(self) -> int:
        return self.formation.identity.replica_id

    def tick(self, now: float) -> None:
        for replica in self.replicas.values():
            replica.tick(now)
        if now >= self._leave_at:
            self.leave(now)
        if now >= self._ask_at:
            self._ask_at = now + ASK_INTERVAL_S
            self._ask(now)
        if now >= self._balance_at:
            self._balance_at = now + HAND_OVER_INTERVAL_S
            self._balance(now)

    def receive(self, now: float, envelope: Envelope) -> None:
        own = self.formation.identity
        if envelope.cluster and own.cluster and envelope.cluster != own.cluster:
            log.warning("other cluster peer=%s:%d found=%d own=%d", *envelope.address, envelope.cluster, own.cluster)
            return
        if envelope.to not in (0, self.id):
            self._send_process(envelope.address, 0, self._join_request(now, every_group=True))
            return
        self.addresses[envelope.sender] = envelope.address
        for group, message in envelope.frames:
            if group == PROCESS:
                self._receive_process(now, envelope, message)
            elif replica := self.replicas.get(group):
                if not own.cluster and isinstance(message, Append | Heartbeat | SnapshotChunk):
                    own = self.formation.identity = Identity(self.id, envelope.cluster)
                replica.receive(now, envelope.sender, message)

    def peer_lost(self, now: float, address: Address) -> None:
        """The connection from a process has ended. If it led, it is probably gone; the others are asked by pre-vote."""
        for replica in self.replicas.values():
            leader = replica.leader
            if leader is not None and leader.id != self.id and leader.address == address:
                replica.core.now = now
                replica.core.suspect_leader()

    def leave(self, now: float) -> None:
        """A planned end begins: spares take this process's places if there are any, and what it leads is handed over.

        A leader first makes the spare a voter, for its successor doesn't know the spare yet. Other leaders are told
        again while the process is still there.
        """
        self._leave_at = now + LEAVE_INTERVAL_S
        self._hand_over_at = min(self._hand_over_at, now + LONGEST_EXCHANGE_S)
        for replica in self.replicas.values():
            leader = replica.leader
            if leader and leader.id != self.id:
                self._send_process(leader.address, leader.id, Leave())
            elif replica.core.role is Role.LEADER:
                replica.leave(now, self.id)
                if now >= self._hand_over_at or not replica.reconfiguration.spares():
                    replica.hand_over(now)

    def take_envelopes(self) -> list[tuple[Address, Envelope]]:
        envelopes: dict[tuple[Address, int], Envelope] = {}
        identity = self.formation.identity

        def envelope(address: Address, to: int) -> Envelope:
            key = (address, to)
            if key not in envelopes:
                envelopes[key] = Envelope(identity.cluster, identity.replica_id, self.settings.address, to)
            return envelopes[key]

        for group, replica in self.replicas.items():
            for to, message in replica.take_messages():
                if address := self._address_of(replica, to):
                    envelope(address, to).frames.append((group, message))
        for address, to, message in self._process_outbox:
            envelope(address, to).frames.append((PROCESS, message))
        self._process_outbox = []
        return [(address, value) for (address, _), value in envelopes.items()]

    def take_changes(self) -> list[Identity | DurableChange]:
        """What is to be written now, in one piece; `written` follows when it is durable."""
        changes: list[Identity | DurableChange] = []
        if self._identity_written != self.formation.identity:
            self._identity_written = self.formation.identity
            changes.append(self.formation.identity)
        changes += [change for replica in self.replicas.values() if (change := replica.take_change())]
        return changes

    def written(self, now: float) -> None:
        for replica in self.replicas.values():
            replica.written(now)

    def add_contacts(self, addresses: Iterable[Address]) -> None:
        """Further processes that may know the groups, from changed settings for example."""
        self.contacts.update(addresses)

    def abstain(self, now: float, abstaining: bool) -> None:
        for replica in self.replicas.values():
            replica.abstain(now, abstaining)

    # Between processes

    def _receive_process(self, now: float, envelope: Envelope, message: Any) -> None:
        match message:
            case Join():
                self._joins(now, envelope, message)
            case JoinReply() if message.empty:
                if self.formation.empty:
                    self.formation.empty_seen(now, envelope.sender, envelope.address)
            case JoinReply():
                self.formation.member_seen()
                self.contacts.update((host, port) for host, port in message.contacts)
            case Found():
                if self.formation.found(message):
                    self._form()
            case Leave():
                for replica in self.replicas.values():
                    replica.leave(now, envelope.sender)

    def _joins(self, now: float, envelope: Envelope, message: Join) -> None:
        if self.formation.empty:
            if message.empty:
                self.formation.empty_seen(now, envelope.sender, envelope.address)
            self._send_process(envelope.address, envelope.sender, JoinReply(True, []))
            return
        member = Member(envelope.sender, envelope.address)
        contacts: set[Address] = set()
        for group in message.groups:
            if replica := self.replicas.get(group):
                replica.join(now, member)
                contacts.update(member.address for member in replica.core.configuration.members().values())
        contacts.discard(envelope.address)
        reply = JoinReply(False, [list(known) for known in sorted(contacts)])
        self._send_process(envelope.address, envelope.sender, reply)

    def _ask(self, now: float) -> None:
        if found := self.formation.proposal(now):
            self.formation.found(found)
            self._form()
        if self.formation.founders and not any(replica.core.commit_index for replica in self.replicas.values()):
            members = [[member.id, *member.address] for member in self.formation.founders]
            for member in self.formation.founders:
                self._send_process(member.address, member.id, Found(members))
        request = self._join_request(now, every_group=False)
        if request.groups:
            for address in sorted(self.contacts | {member.address for member in self._members()}):
                self._send_process(address, 0, request)

    def _join_request(self, now: float, every_group: bool) -> Join:
        groups = [group for group, replica in self.replicas.items() if every_group or self._lacks_leader(now, replica)]
        return Join(groups, self.formation.empty)

    @staticmethod
    def _lacks_leader(now: float, replica: Replica) -> bool:
        """Whether a replica should ask to be taken in. Before the first election there is nobody to ask."""
        core = replica.core
        if core.role is Role.LEADER or core.is_voter and core.log.last_index == 0:
            return False
        return now - core.leader_heard_at > LEADER_LOST_S

    def _form(self) -> None:
        """Begins every group with the founding members."""
        configuration = self.formation.founding_configuration()
        for replica in self.replicas.values():
            replica.core.install(Snapshot(0, 0, configuration, b""))
            replica.core.restored = None
        log.info("groups formed replica=%d members=%d", self.id, len(configuration.voters))

    def _members(self) -> list[Member]:
        return [member for replica in self.replicas.values()
                for member in replica.core.configuration.members().values()]

    def _balance(self, now: float) -> None:
        """Hands one group to the voter that should lead it, once that voter has been steady for a while."""
        for replica in self.replicas.values():
            core = replica.core
            voters = core.configuration.voters
            if not replica.is_leader or core.preferred or core.configuration.joint or not voters:
                continue
            wanted = replica.replication.progress.get(voters[core.group % len(voters)].id)
            since = max(core.leader_since or now, wanted.steady_since if wanted else now)
            if wanted and wanted.willing and now - since > STEADY_S and wanted.match >= core.commit_index:
                replica.hand_over(now, wanted.member.id)
                return

    def _address_of(self, replica: Replica, member_id: int) -> Address | None:
        if progress := replica.replication.progress.get(member_id):
            return progress.member.address
        member = replica.core.configuration.members().get(member_id)
        return member.address if member else self.addresses.get(member_id)

    def _send_process(self, address: Address, to: int, message: Any) -> None:
        if address != self.settings.address:
            self._process_outbox.append((address, to, message))
