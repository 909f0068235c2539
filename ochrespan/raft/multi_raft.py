"""The replicas of several groups in one process: one envelope per peer and step, one write for all groups."""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable
from typing import Any

from ochrespan.common.addresses import Address

from .bootstrap import ASK_INTERVAL_S, FOUNDING_ASK_INTERVAL_S, Formation, FormationSettings, Identity
from .cluster_messages import Found, Join, JoinReply, Leave, cluster_of, members_of
from .envelope import PROCESS, Envelope
from .membership_config import Member
from .messages import Append, Heartbeat, SnapshotChunk
from .replica import Replica
from .state import DurableChange, DurableState, Role, Timing

log = logging.getLogger(__name__)

LEADER_LOST_S = 0.5  # a replica that isn't a voter asks again when no leader was heard for this long
LEAVE_INTERVAL_S = 0.1
LONGEST_EXCHANGE_S = 0.4  # a leader that ends as planned waits no longer for a spare to become a voter
STEADY_S = 5.0  # a voter heard for this long may be handed the groups that it should lead
HAND_OVER_INTERVAL_S = 1.0


class GroupTable:
    """Routes messages to the replicas and collects what they send and write."""

    def __init__(
        self,
        settings: FormationSettings,
        groups: tuple[int, ...],
        known: Identity | None,
        durable: dict[int, DurableState],
        source: random.Random,
        now: float,
        timing: Timing | None = None,
    ) -> None:
        self.settings, self.timing = settings, timing or Timing()
        self.formation = Formation.begin(settings, known, source, now)
        self.addresses: dict[int, Address] = {}
        self.contacts: set[Address] = set(settings.seeds)
        self._strangers: set[Address] = set()  # processes of other clusters that were told of in the log
        self._random = source
        self._process_outbox: list[tuple[Address, int, Any]] = []
        self._ask_at = self._balance_at = now
        self._identity_written = known
        self._leave_at = self._hand_over_at = float("inf")
        self.replicas = {group: self._replica(group, durable.get(group) or DurableState(), now) for group in groups}

    @property
    def id(self) -> int:
        return self.formation.identity.replica_id

    def tick(self, now: float) -> None:
        for replica in self.replicas.values():
            replica.tick(now)
        if now >= self._leave_at:
            self.leave(now)
        if now >= self._ask_at:
            self._ask_at = now + (FOUNDING_ASK_INTERVAL_S if self.formation.is_founder else ASK_INTERVAL_S)
            self._ask(now)
        if now >= self._balance_at:
            self._balance_at = now + HAND_OVER_INTERVAL_S
            self._balance(now)

    def receive(self, now: float, envelope: Envelope) -> None:
        own = self.formation.identity
        if envelope.cluster and own.cluster and envelope.cluster != own.cluster:
            self._receive_other_cluster(now, envelope)
            return
        if envelope.to not in (0, self.id):
            if any(isinstance(message, Append | Heartbeat | SnapshotChunk) for _, message in envelope.frames):
                self.formation.leader_seen()
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
            replica.peer_lost(now, address)

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

        receiving: set[Address] = set()  # processes that are sent an image: by one group at a time
        for group, replica in self.replicas.items():
            for to, message in replica.take_messages(receiving):
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
                self.formation.heard(now, envelope.sender, envelope.address, message)
                self._joins(now, envelope, message)
                self._propose_founding(now)
            case JoinReply():
                self.formation.heard(now, envelope.sender, envelope.address, message)
                self.contacts.update((host, port) for host, port in message.contacts)
                self._propose_founding(now)
            case Found():
                if self.formation.accepts(message):
                    self._form(now, message)
            case Leave():
                for replica in self.replicas.values():
                    replica.leave(now, envelope.sender)

    def _receive_other_cluster(self, now: float, envelope: Envelope) -> None:
        """Foundings may have crossed at a first start; else a process of another deployment is not listened to."""
        for group, message in envelope.frames:
            if group != PROCESS:
                continue
            if isinstance(message, JoinReply) and message.settled and self._is_blank:
                log.warning("founding given up, another has commitments peer=%s:%d", *envelope.address)
                self._give_up(now)
                return
            if isinstance(message, Found) and self._prefers(message):
                self._form(now, message)
                return
            if isinstance(message, Join):
                self.formation.heard(now, envelope.sender, envelope.address, message)
            if isinstance(message, Join | Found) and self._is_settled:
                self._send_process(envelope.address, 0, self._join_reply(now, []))
        if envelope.address not in self._strangers:
            self._strangers.add(envelope.address)
            log.warning(
                "other cluster peer=%s:%d found=%d own=%d",
                *envelope.address,
                envelope.cluster,
                self.formation.identity.cluster,
            )

    def _prefers(self, message: Found) -> bool:
        """Whether another founding is to be taken in place of this process's own: all choose the same one."""
        members = members_of(message)
        if not self._is_blank or self._has_voted or all(member.id != self.id for member in members):
            return False
        return (not message.voted, cluster_of(members)) < (True, self.formation.identity.cluster)

    @property
    def _is_blank(self) -> bool:
        """No log has an entry: nothing that this disk holds can have been acknowledged."""
        return all(not replica.core.log.last_index for replica in self.replicas.values())

    @property
    def _has_voted(self) -> bool:
        return any(replica.core.term for replica in self.replicas.values())

    @property
    def _is_settled(self) -> bool:
        """A group is known to have commitments."""
        return any(replica.core.commit_index for replica in self.replicas.values())

    def _joins(self, now: float, envelope: Envelope, message: Join) -> None:
        contacts: set[Address] = set()
        if not self.formation.empty:
            member = Member(envelope.sender, envelope.address)
            for group in message.groups:
                if replica := self.replicas.get(group):
                    replica.join(now, member)
                    contacts.update(member.address for member in replica.core.configuration.members().values())
        contacts.discard(envelope.address)
        self._send_process(envelope.address, envelope.sender, self._join_reply(now, sorted(contacts)))

    def _join_reply(self, now: float, contacts: list[Address]) -> JoinReply:
        formation = self.formation
        founders = [list(founder) for founder in formation.identity.founders]
        listed = [list(contact) for contact in contacts]
        return JoinReply(formation.empty, listed, self._is_blank, founders, formation.age(now), self._is_settled)

    def _ask(self, now: float) -> None:
        self._propose_founding(now)
        if founding := self._founding():
            self._tell_founding(now, founding)
        request = self._join_request(now, every_group=False)
        if request.groups:
            for address in sorted(self.contacts | {member.address for member in self._members()}):
                self._send_process(address, 0, request)

    def _propose_founding(self, now: float) -> None:
        if found := self.formation.proposal(now):
            self._form(now, found)
            self._tell_founding(now, self._founding())

    def _founding(self) -> tuple[Member, ...]:
        """The first members, as long as their groups have no entry here."""
        if self.formation.empty or not self._is_blank:
            return ()
        return next(iter(self.replicas.values())).core.configuration.voters

    def _tell_founding(self, now: float, founding: tuple[Member, ...]) -> None:
        """Until there is an entry, the other founders may not have heard, or may be in a founding that crossed."""
        if self.formation.led_to_nothing(now, founding):
            log.warning("founding given up, it led to nothing replica=%d", self.id)
            self._give_up(now)
            self._ask_at = now
            return
        message = Found([[member.id, *member.address] for member in founding], self._has_voted)
        for member in founding:
            self._send_process(member.address, 0, message)

    def _join_request(self, now: float, every_group: bool) -> Join:
        groups = [group for group, replica in self.replicas.items() if every_group or self._lacks_leader(now, replica)]
        formation = self.formation
        founders = [list(founder) for founder in formation.identity.founders]
        return Join(groups, formation.empty, self._is_blank, founders, formation.age(now))

    @staticmethod
    def _lacks_leader(now: float, replica: Replica) -> bool:
        """Whether a replica should ask to be taken in."""
        core = replica.core
        if core.role is Role.LEADER:
            return False
        return now - core.leader_heard_at > LEADER_LOST_S

    def _form(self, now: float, message: Found) -> None:
        """Begins every group with the founding members."""
        configuration = self.formation.accept(now, message)
        for replica in self.replicas.values():
            replica.found(now, configuration)
        log.info("groups formed replica=%d members=%d", self.id, len(configuration.voters))

    def _give_up(self, now: float) -> None:
        """Leaves a founding whose groups have no entry here, as a process with an empty disk and a new id."""
        self.formation.give_up()
        self.replicas = {group: self._replica(group, DurableState(), now) for group in self.replicas}

    def _replica(self, group: int, durable: DurableState, now: float) -> Replica:
        smallest = 2 * self.settings.tolerated + 1
        return Replica(group, self.id, durable, self._random, self.timing, smallest, now)

    def _members(self) -> list[Member]:
        return [
            member for replica in self.replicas.values() for member in replica.core.configuration.members().values()
        ]

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
