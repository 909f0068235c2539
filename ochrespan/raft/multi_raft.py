"""The replicas of several groups in one process: one envelope per peer and step, one write for all groups."""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable
from typing import Any

from ochrespan.common.addresses import Address

from .bootstrap import BOOTSTRAP_QUERY_INTERVAL_S, QUERY_INTERVAL_S, Bootstrap, BootstrapSettings, Identity
from .cluster_messages import BootstrapProposal, JoinRequest, JoinResponse, LeaveNotice, cluster_id_of, proposed_members
from .envelope import PROCESS_GROUP, Envelope
from .membership_config import Member
from .messages import AppendEntries, Heartbeat, InstallSnapshot
from .replica import Replica
from .state import PersistentState, PersistentUpdate, ReplicaSettings, Role, Timing

log = logging.getLogger(__name__)

LEADER_TIMEOUT_S = 0.5  # a replica that isn't a voter asks again when no leader was heard for this long
LEAVE_INTERVAL_S = 0.1
MAX_REPLACEMENT_S = 0.4  # a leader that ends as planned waits no longer for a spare to become a voter
MIN_STABLE_S = 5.0  # a voter heard for this long may be handed the groups that it should lead
TRANSFER_INTERVAL_S = 1.0


class MultiRaft:
    """Routes messages to the replicas and collects what they send and write."""

    def __init__(
        self,
        settings: BootstrapSettings,
        groups: tuple[int, ...],
        known: Identity | None,
        durable: dict[int, PersistentState],
        source: random.Random,
        now: float,
        timing: Timing | None = None,
    ) -> None:
        self.settings, self.timing = settings, timing or Timing()
        self.bootstrap = Bootstrap.begin(settings, known, source, now)
        self.addresses: dict[int, Address] = {}
        self.contacts: set[Address] = set(settings.seeds)
        self._strangers: set[Address] = set()  # processes of other clusters that were told of in the log
        self._random = source
        self._process_outbox: list[tuple[Address, int, Any]] = []
        self._ask_at = self._balance_at = now
        self._identity_written = known
        self._leave_at = self._transfer_at = float("inf")
        self.replicas = {group: self._replica(group, durable.get(group) or PersistentState(), now) for group in groups}

    @property
    def id(self) -> int:
        return self.bootstrap.identity.replica_id

    def tick(self, now: float) -> None:
        for replica in self.replicas.values():
            replica.tick(now)
        if now >= self._leave_at:
            self.leave(now)
        if now >= self._ask_at:
            self._ask_at = now + (BOOTSTRAP_QUERY_INTERVAL_S if self.bootstrap.is_initial_member else QUERY_INTERVAL_S)
            self._ask(now)
        if now >= self._balance_at:
            self._balance_at = now + TRANSFER_INTERVAL_S
            self._balance(now)

    def receive(self, now: float, envelope: Envelope) -> None:
        own = self.bootstrap.identity
        if envelope.cluster and own.cluster and envelope.cluster != own.cluster:
            self._receive_other_cluster(now, envelope)
            return
        if envelope.to not in (0, self.id):
            if any(isinstance(message, AppendEntries | Heartbeat | InstallSnapshot) for _, message in envelope.frames):
                self.bootstrap.leader_seen()
            self._send_process(envelope.address, 0, self._join_request(now, every_group=True))
            return
        self.addresses[envelope.sender] = envelope.address
        for group, message in envelope.frames:
            if group == PROCESS_GROUP:
                self._receive_process(now, envelope, message)
            elif replica := self.replicas.get(group):
                if not own.cluster and isinstance(message, AppendEntries | Heartbeat | InstallSnapshot):
                    own = self.bootstrap.identity = Identity(self.id, envelope.cluster)
                replica.receive(now, envelope.sender, message)

    def peer_disconnected(self, now: float, address: Address) -> None:
        """The connection from a process has ended. If it led, it is probably gone; the others are asked by pre-vote."""
        for replica in self.replicas.values():
            replica.peer_disconnected(now, address)

    def leave(self, now: float) -> None:
        """A planned end begins: spares take this process's places if there are any, and what it leads is handed over.

        A leader first makes the spare a voter, for its successor doesn't know the spare yet. Other leaders are told
        again while the process is still there.
        """
        self._leave_at = now + LEAVE_INTERVAL_S
        self._transfer_at = min(self._transfer_at, now + MAX_REPLACEMENT_S)
        for replica in self.replicas.values():
            leader = replica.leader
            if leader and leader.id != self.id:
                self._send_process(leader.address, leader.id, LeaveNotice())
            elif replica.state.role is Role.LEADER:
                replica.leave(now, self.id)
                if now >= self._transfer_at or not replica.reconfiguration.spares():
                    replica.transfer_leadership(now)

    def take_envelopes(self) -> list[tuple[Address, Envelope]]:
        envelopes: dict[tuple[Address, int], Envelope] = {}
        identity = self.bootstrap.identity

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
            envelope(address, to).frames.append((PROCESS_GROUP, message))
        self._process_outbox = []
        return [(address, value) for (address, _), value in envelopes.items()]

    def take_updates(self) -> list[Identity | PersistentUpdate]:
        """What is to be written now, in one piece; `persisted` follows when it is durable."""
        changes: list[Identity | PersistentUpdate] = []
        if self._identity_written != self.bootstrap.identity:
            self._identity_written = self.bootstrap.identity
            changes.append(self.bootstrap.identity)
        changes += [change for replica in self.replicas.values() if (change := replica.take_update())]
        return changes

    def persisted(self, now: float) -> None:
        for replica in self.replicas.values():
            replica.persisted(now)

    def add_contacts(self, addresses: Iterable[Address]) -> None:
        """Further processes that may know the groups, from changed settings for example."""
        self.contacts.update(addresses)

    def withhold_votes(self, now: float, withholding_votes: bool) -> None:
        for replica in self.replicas.values():
            replica.withhold_votes(now, withholding_votes)

    # Between processes

    def _receive_process(self, now: float, envelope: Envelope, message: Any) -> None:
        match message:
            case JoinRequest():
                self.bootstrap.heard(now, envelope.sender, envelope.address, message)
                self._joins(now, envelope, message)
                self._propose_bootstrap(now)
            case JoinResponse():
                self.bootstrap.heard(now, envelope.sender, envelope.address, message)
                self.contacts.update((host, port) for host, port in message.contacts)
                self._propose_bootstrap(now)
            case BootstrapProposal():
                if self.bootstrap.accepts(message):
                    self._start_groups(now, message)
            case LeaveNotice():
                for replica in self.replicas.values():
                    replica.leave(now, envelope.sender)

    def _receive_other_cluster(self, now: float, envelope: Envelope) -> None:
        """Foundings may have crossed at a first start; else a process of another deployment is not listened to."""
        for group, message in envelope.frames:
            if group != PROCESS_GROUP:
                continue
            if isinstance(message, JoinResponse) and message.settled and self._is_blank:
                log.warning("founding given up, another has commitments peer=%s:%d", *envelope.address)
                self._abandon_bootstrap(now)
                return
            if isinstance(message, BootstrapProposal) and self._prefers(message):
                self._start_groups(now, message)
                return
            if isinstance(message, JoinRequest):
                self.bootstrap.heard(now, envelope.sender, envelope.address, message)
            if isinstance(message, JoinRequest | BootstrapProposal) and self._is_settled:
                self._send_process(envelope.address, 0, self._join_reply(now, []))
        if envelope.address not in self._strangers:
            self._strangers.add(envelope.address)
            log.warning(
                "other cluster peer=%s:%d found=%d own=%d",
                *envelope.address,
                envelope.cluster,
                self.bootstrap.identity.cluster,
            )

    def _prefers(self, message: BootstrapProposal) -> bool:
        """Whether another founding is to be taken in place of this process's own: all choose the same one."""
        members = proposed_members(message)
        if not self._is_blank or self._has_voted or all(member.id != self.id for member in members):
            return False
        return (not message.voted, cluster_id_of(members)) < (True, self.bootstrap.identity.cluster)

    @property
    def _is_blank(self) -> bool:
        """No log has an entry: nothing that this disk holds can have been acknowledged."""
        return all(not replica.state.log.last_index for replica in self.replicas.values())

    @property
    def _has_voted(self) -> bool:
        return any(replica.state.term for replica in self.replicas.values())

    @property
    def _is_settled(self) -> bool:
        """A group is known to have commitments."""
        return any(replica.state.commit_index for replica in self.replicas.values())

    def _joins(self, now: float, envelope: Envelope, message: JoinRequest) -> None:
        contacts: set[Address] = set()
        if not self.bootstrap.empty:
            member = Member(envelope.sender, envelope.address)
            for group in message.groups:
                if replica := self.replicas.get(group):
                    replica.join(now, member)
                    contacts.update(member.address for member in replica.state.configuration.members().values())
        contacts.discard(envelope.address)
        self._send_process(envelope.address, envelope.sender, self._join_reply(now, sorted(contacts)))

    def _join_reply(self, now: float, contacts: list[Address]) -> JoinResponse:
        bootstrap = self.bootstrap
        initial_members = [list(founder) for founder in bootstrap.identity.initial_members]
        listed = [list(contact) for contact in contacts]
        return JoinResponse(
            bootstrap.empty, listed, self._is_blank, initial_members, bootstrap.age(now), self._is_settled
        )

    def _ask(self, now: float) -> None:
        self._propose_bootstrap(now)
        if founding := self._bootstrap_members():
            self._announce_bootstrap(now, founding)
        request = self._join_request(now, every_group=False)
        if request.groups:
            for address in sorted(self.contacts | {member.address for member in self._members()}):
                self._send_process(address, 0, request)

    def _propose_bootstrap(self, now: float) -> None:
        if found := self.bootstrap.proposal(now):
            self._start_groups(now, found)
            self._announce_bootstrap(now, self._bootstrap_members())

    def _bootstrap_members(self) -> tuple[Member, ...]:
        """The first members, as long as their groups have no entry here."""
        if self.bootstrap.empty or not self._is_blank:
            return ()
        return next(iter(self.replicas.values())).state.configuration.voters

    def _announce_bootstrap(self, now: float, founding: tuple[Member, ...]) -> None:
        """Until there is an entry, the other founders may not have heard, or may be in a founding that crossed."""
        if self.bootstrap.has_stalled(now, founding):
            log.warning("founding given up, it led to nothing replica=%d", self.id)
            self._abandon_bootstrap(now)
            self._ask_at = now
            return
        message = BootstrapProposal([[member.id, *member.address] for member in founding], self._has_voted)
        for member in founding:
            self._send_process(member.address, 0, message)

    def _join_request(self, now: float, every_group: bool) -> JoinRequest:
        groups = [group for group, replica in self.replicas.items() if every_group or self._lacks_leader(now, replica)]
        bootstrap = self.bootstrap
        initial_members = [list(founder) for founder in bootstrap.identity.initial_members]
        return JoinRequest(groups, bootstrap.empty, self._is_blank, initial_members, bootstrap.age(now))

    @staticmethod
    def _lacks_leader(now: float, replica: Replica) -> bool:
        """Whether a replica should ask to be taken in."""
        core = replica.state
        if core.role is Role.LEADER:
            return False
        return now - core.last_leader_contact_at > LEADER_TIMEOUT_S

    def _start_groups(self, now: float, message: BootstrapProposal) -> None:
        """Begins every group with the founding members."""
        configuration = self.bootstrap.accept(now, message)
        for replica in self.replicas.values():
            replica.bootstrap(now, configuration)
        log.info("groups formed replica=%d members=%d", self.id, len(configuration.voters))

    def _abandon_bootstrap(self, now: float) -> None:
        """Leaves a founding whose groups have no entry here, as a process with an empty disk and a new id."""
        self.bootstrap.abandon()
        self.replicas = {group: self._replica(group, PersistentState(), now) for group in self.replicas}

    def _replica(self, group: int, durable: PersistentState, now: float) -> Replica:
        min_voters = 2 * self.settings.fault_tolerance + 1
        settings = ReplicaSettings(group, self.id, min_voters, self.timing)
        return Replica(settings, durable, self._random, now)

    def _members(self) -> list[Member]:
        return [
            member for replica in self.replicas.values() for member in replica.state.configuration.members().values()
        ]

    def _balance(self, now: float) -> None:
        """Hands one group to the voter that should lead it, once that voter has been steady for a while."""
        for replica in self.replicas.values():
            core = replica.state
            voters = core.configuration.voters
            if not replica.is_leader or core.is_preferred_leader or core.configuration.joint or not voters:
                continue
            wanted = replica.replication.progress.get(voters[core.group % len(voters)].id)
            since = max(core.leader_since or now, wanted.stable_since if wanted else now)
            if wanted and wanted.eligible and now - since > MIN_STABLE_S and wanted.match_index >= core.commit_index:
                replica.transfer_leadership(now, wanted.member.id)
                return

    def _address_of(self, replica: Replica, member_id: int) -> Address | None:
        if progress := replica.replication.progress.get(member_id):
            return progress.member.address
        member = replica.state.configuration.members().get(member_id)
        return member.address if member else self.addresses.get(member_id)

    def _send_process(self, address: Address, to: int, message: Any) -> None:
        if address != self.settings.address:
            self._process_outbox.append((address, to, message))
