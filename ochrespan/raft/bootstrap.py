"""Rules for which disks may form the Raft groups of a new deployment. Sends no messages and owns no replicas.

A replica id is generated when a process starts with an empty disk and is lost with that disk, so an id is never used
with a second disk. With `bootstrap: true` the seeds are the initial members of the deployment. Each of them records the
addresses of all initial members on its disk, then queries the others for the state of their disks (`JoinRequest`,
`JoinResponse`). The initial member with the lowest address among those that can take part proposes the voters of the
first groups (`BootstrapProposal`) when one of two conditions is met:

- every initial member reports from its address that its disk belongs to no cluster, and a majority of the disks have
  the initial members recorded. A committed entry is on a majority of the disks, so if there were one, more disks would
  have been lost than the deployment tolerates;
- a majority of the initial members run for the first time with their disks, started within `MAX_START_SPREAD_S` of each
  other, and none of them knows of a group with entries. This lets a first start proceed without an initial member that
  is late. One that started at a time when a group might already have existed, or that was started before with
  this disk, waits for the reports of all.

A process without recorded initial members proposes nothing: even if every process that it knows has an empty disk, a
cluster may exist elsewhere.

Several initial members may propose at the same time, with different members, if messages between them are lost or late.
`bootstrap_protocol` describes how such bootstraps are reduced to a single one.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from ochrespan.common.addresses import Address

from .cluster_messages import NOT_FIRST_START, BootstrapProposal, JoinRequest, JoinResponse, cluster_id_of
from .membership_config import Member, MembershipConfig

QUERY_INTERVAL_S = 0.25
BOOTSTRAP_QUERY_INTERVAL_S = 0.05  # while the groups are still to be formed
MAX_START_SPREAD_S = 0.4  # initial members of a first start begin within this time of each other
ALL_MEMBERS_WAIT_S = 0.1  # an initial member waits this long for the reports of all before those of a majority suffice
# a bootstrap without progress is abandoned when no initial member has had an entry for this long
ABANDON_AFTER_S = 1.5
# the same in a first start with a majority of the initial members, but without one of the bootstrap's voters
ABANDON_FIRST_START_AFTER_S = 0.5
LEADERLESS_AFTER_S = 3.0  # several elections: a group without a leader for longer has lost its majority for good
MAX_REPORT_AGE_S = 1.0  # a report older than this is not considered


@dataclass(slots=True)
class Identity:
    """A process's identity in the groups: generated when it starts with an empty disk, and stored on that disk."""

    replica_id: int
    cluster_id: int = 0  # 0: not a member of a cluster yet
    initial_members: tuple[Address, ...] = ()  # recorded when an initial member first starts; empty for other processes


@dataclass(frozen=True, slots=True)
class BootstrapSettings:
    """The settings that decide how a process takes part in a bootstrap."""

    address: Address  # of this process
    seeds: tuple[Address, ...]
    bootstrap: bool  # the seeds are the initial members of a new deployment
    fault_tolerance: int  # machines that may be lost at once


@dataclass(frozen=True, slots=True)
class PeerReport:
    """The latest report of a process about its own disk."""

    replica_id: int
    is_unbootstrapped: bool
    has_no_entries: bool
    initial_members: tuple[Address, ...]
    first_started_at: float | None  # by the receiver's clock; None if the process was started before with its disk
    last_contact_at: float
    cluster_id: int = 0  # 0: of no cluster


def generate_replica_id(random_source: random.Random) -> int:
    """An id that no other disk has."""
    return random_source.getrandbits(62) + 1


class Bootstrap:
    """The identity of a process, the reports of its peers, and what they allow it to propose, accept or abandon."""

    def __init__(
        self,
        settings: BootstrapSettings,
        identity: Identity,
        random_source: random.Random,
        first_started_at: float | None,
    ) -> None:
        self.settings = settings
        self.identity = identity
        self._random = random_source
        self._first_started_at = first_started_at  # None: this process was started before with its disk
        self._reports: dict[Address, PeerReport] = {}
        self._knows_existing_group = False
        self._bootstrapped_at = 0.0
        self._all_without_entries_since: float | None = None
        self._alone_since: float | None = None
        self._leaderless_since: float | None = None

    @classmethod
    def begin(
        cls, settings: BootstrapSettings, known: Identity | None, random_source: random.Random, now: float
    ) -> Bootstrap:
        """Uses the identity on the disk or generates one; that of an initial member lists all initial members.

        Args:
            settings: the bootstrap settings of this process.
            known: the identity on the disk; None for an empty disk.
            random_source: for replica ids.
            now: seconds of the steady clock.
        """
        initial_members = tuple(sorted(set(settings.seeds)))
        is_initial_member = settings.bootstrap and settings.address in initial_members
        if known is None:
            recorded = initial_members if is_initial_member else ()
            return cls(settings, Identity(generate_replica_id(random_source), 0, recorded), random_source, now)
        if is_initial_member and not known.cluster_id and not known.initial_members:
            known = replace(known, initial_members=initial_members)
        return cls(settings, known, random_source, None)

    @property
    def is_unbootstrapped(self) -> bool:
        """Whether the disk has never belonged to a cluster."""
        return self.identity.cluster_id == 0

    @property
    def awaits_bootstrap(self) -> bool:
        """Whether this is an initial member that belongs to no cluster yet."""
        return self.is_unbootstrapped and bool(self.identity.initial_members)

    def first_start_age(self, now: float) -> float:
        """Seconds since the first start with this disk.

        NOT_FIRST_START if the process was started before with it, or knows of an existing group: its peers then don't
        count it among the processes of a first start.
        """
        if self._first_started_at is None or self._knows_existing_group:
            return NOT_FIRST_START
        return now - self._first_started_at

    def record_existing_group(self) -> None:
        """Records that a group exists: its leader has sent a message to the id of an earlier disk at this address."""
        self._knows_existing_group = True

    def record_report(
        self,
        now: float,
        replica_id: int,
        address: Address,
        message: JoinRequest | JoinResponse,
        cluster_id: int = 0,
    ) -> None:
        """Stores a process's report about its disk; `cluster_id` is the cluster of that process, 0 for none."""
        first_started_at = None if message.age_s < 0 else now - message.age_s
        self._reports[address] = PeerReport(
            replica_id,
            message.is_unbootstrapped,
            message.has_no_entries,
            message.initial_members,
            first_started_at,
            now,
            cluster_id,
        )
        self._knows_existing_group |= not message.is_unbootstrapped and not message.has_no_entries

    def proposal(self, now: float) -> BootstrapProposal | None:
        """The voters of the first groups, if they may be formed now and this process is the one to propose them.

        An initial member that has not reported is listed under a newly generated id that no process uses; it joins as
        a learner later, under its own id.
        """
        initial_members = self.identity.initial_members
        own_address = self.settings.address
        if not self.is_unbootstrapped or own_address not in initial_members:
            return None
        candidates = {
            address: report
            for address, report in self._recent_reports(now).items()
            if report.is_unbootstrapped and report.initial_members in ((), initial_members)
        }
        candidates[own_address] = self._own_report(now, is_unbootstrapped=True)
        proposer = min(address for address, report in candidates.items() if report.initial_members)
        if own_address != proposer:
            return None
        if not self._all_initial_members_in(candidates) and not self._is_majority_in_first_start(now, candidates):
            return None
        return BootstrapProposal(
            tuple(
                Member(
                    candidates[address].replica_id if address in candidates else generate_replica_id(self._random),
                    address,
                )
                for address in initial_members
            )
        )

    def accepts(self, message: BootstrapProposal) -> bool:
        """Whether this process belongs to no cluster and is named, under its current id, in a proposal."""
        return self.is_unbootstrapped and any(member.id == self.identity.replica_id for member in message.members)

    def accept(self, now: float, message: BootstrapProposal) -> MembershipConfig:
        """Makes this process a member of the proposed cluster.

        Returns:
            The configuration with which each group begins.
        """
        self._bootstrapped_at = now
        self.identity = replace(self.identity, cluster_id=cluster_id_of(message.members))
        self._reset_condition_timers()
        return MembershipConfig.of(message.members)

    def check_stalled(self, now: float, voters: Iterable[Member]) -> bool:
        """Whether a bootstrap with these voters may be abandoned, since it is not going to elect a leader.

        To be called only while the logs here have no entry. Also updates the time since when no initial member has had
        one. Either no initial member has had an entry for
        ABANDON_AFTER_S; or this is a first start with a majority of the initial members, which is enough for another
        bootstrap, while no majority of this bootstrap's voters is reachable.
        """
        own_address = self.settings.address
        if own_address not in self.identity.initial_members:
            return False
        without_entries = {
            address: report for address, report in self._recent_reports(now).items() if report.has_no_entries
        }
        without_entries[own_address] = self._own_report(now, is_unbootstrapped=False)
        if not self._all_initial_members_in(without_entries):
            self._all_without_entries_since = None
        elif self._all_without_entries_since is None:
            self._all_without_entries_since = now
        if self._all_without_entries_since is not None and now - self._all_without_entries_since >= ABANDON_AFTER_S:
            return True
        voters = list(voters)
        reachable = [voter for voter in voters if self._is_reachable(now, without_entries.get(voter.address), voter)]
        lacks_majority = 2 * len(reachable) <= len(voters)
        is_overdue = now - self._bootstrapped_at >= ABANDON_FIRST_START_AFTER_S
        return is_overdue and lacks_majority and self._is_majority_in_first_start(now, without_entries)

    def check_stuck(self, now: float, lacks_leader: bool) -> bool:
        """Whether this process should leave its cluster, which is not going to accept commands, for a new bootstrap.

        To be called only while the cluster cannot have acknowledged a command. Also updates the times since when the
        conditions below have been true. True if all other initial members have
        reported lately, and

        - each has been in another cluster or in none for ABANDON_AFTER_S; or
        - a group here has had no leader (`lacks_leader`) for LEADERLESS_AFTER_S: the disks of its voters were lost.
        """
        others = set(self.identity.initial_members) - {self.settings.address}
        reports = self._recent_reports(now)
        are_all_in_reach = bool(others) and len(reports) == len(others)
        is_alone = all(report.cluster_id != self.identity.cluster_id for report in reports.values())
        self._alone_since = _condition_since(self._alone_since, now, are_all_in_reach and is_alone)
        self._leaderless_since = _condition_since(self._leaderless_since, now, are_all_in_reach and lacks_leader)
        is_alone_for_long = self._alone_since is not None and now - self._alone_since >= ABANDON_AFTER_S
        is_leaderless_for_long = (
            self._leaderless_since is not None and now - self._leaderless_since >= LEADERLESS_AFTER_S
        )
        return is_alone_for_long or is_leaderless_for_long

    def known_initial_members(self) -> tuple[Address, ...]:
        """The initial members as recorded here, or else as another process has reported them; empty if unknown."""
        if self.identity.initial_members:
            return self.identity.initial_members
        recorded = (report.initial_members for report in self._reports.values() if report.initial_members)
        return next(recorded, ())

    def abandon(self) -> None:
        """Leaves a cluster that has acknowledged no command: generates a new id and retains the initial members."""
        self.identity = Identity(generate_replica_id(self._random), 0, self.identity.initial_members)
        self._reset_condition_timers()

    def _reset_condition_timers(self) -> None:
        """Clears the durations observed in one cluster, which do not apply to the next."""
        self._all_without_entries_since = None
        self._alone_since = None
        self._leaderless_since = None

    @staticmethod
    def _is_reachable(now: float, report: PeerReport | None, voter: Member) -> bool:
        """Whether a voter of a bootstrap has reported lately, under the replica id that the bootstrap gives it."""
        return (
            report is not None
            and report.replica_id == voter.id
            and now - report.last_contact_at < ABANDON_FIRST_START_AFTER_S
        )

    def _own_report(self, now: float, *, is_unbootstrapped: bool) -> PeerReport:
        """This process's own report, to compare with those of its peers; valid only while its logs have no entry."""
        identity = self.identity
        return PeerReport(
            identity.replica_id, is_unbootstrapped, True, identity.initial_members, self._first_started_at, now
        )

    def _recent_reports(self, now: float) -> dict[Address, PeerReport]:
        """The reports of the other initial members that are recent enough."""
        return {
            address: report
            for address, report in self._reports.items()
            if address in self.identity.initial_members and now - report.last_contact_at < MAX_REPORT_AGE_S
        }

    def _all_initial_members_in(self, reports: Mapping[Address, PeerReport]) -> bool:
        """Whether every initial member has a report, and a majority of their disks have the initial members recorded.

        A single disk without this record may belong to a process that was killed before its first sync. Several such
        disks mean machines that lost theirs, perhaps after standbys had replaced them as voters elsewhere.
        """
        initial_members = self.identity.initial_members
        recorded = sum(bool(report.initial_members) for report in reports.values())
        return len(reports) == len(initial_members) and 2 * recorded > len(initial_members)

    def _is_majority_in_first_start(self, now: float, reports: Mapping[Address, PeerReport]) -> bool:
        """Whether the reports show a majority of the initial members in a first start, and none knows of a group."""
        if (
            self._knows_existing_group
            or self.first_start_age(now) < ALL_MEMBERS_WAIT_S
            or 2 * len(reports) <= len(self.identity.initial_members)
        ):
            return False
        started_at: list[float] = []
        for report in reports.values():
            if report.first_started_at is None:
                return False
            started_at.append(report.first_started_at)
        return max(started_at) - min(started_at) <= MAX_START_SPREAD_S


def _condition_since(since: float | None, now: float, is_true: bool) -> float | None:
    """The start of the time for which a condition has been true without a gap; None while it is false.

    Args:
        since: the previous result.
        now: seconds of the steady clock.
        is_true: whether the condition is true now.
    """
    if not is_true:
        return None
    return now if since is None else since
