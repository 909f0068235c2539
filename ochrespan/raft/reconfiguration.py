"""Changes of a group's voters: which change a leader makes next, and its two steps through a joint configuration."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .leader import LeaderReplication, ProgressMode
from .membership_config import Member, MembershipConfig
from .messages import EntryKind
from .state import ReplicaState

CAUGHT_UP_ENTRIES = 64  # a learner that lacks no more than this may become a voter
MAX_GROUP_SIZE = 7  # voters
LEAVE_TIMEOUT_S = 1.5  # a notice of a planned shutdown counts for this long
VOTERS_ADDED_TO_ODD_GROUP = 2


@dataclass(frozen=True, slots=True)
class GroupHealth:
    """A leader's view of the voters and of the standbys that may replace them."""

    standbys: tuple[Member, ...]  # learners that have caught up
    lost: tuple[int, ...]  # voters that timed out, shut down, or returned under another id; longest lost first
    replaced: frozenset[int] = frozenset()  # lost voters whose disk is gone: another id has their address
    has_contact_with_all: bool = True  # every voter has lately responded to this leader


def next_voters(configuration: MembershipConfig, health: GroupHealth, min_voters: int) -> tuple[Member, ...] | None:
    """The voters that a group should change to, or None if it should stay as it is.

    A lost voter is replaced by a standby. Above `min_voters`, a lost voter of a group of even size is removed, and one
    whose disk is gone from a group of any size. A group grows only while all its voters respond; otherwise the ids
    of lost disks could stay in it for good. A group of even size gains one standby, a group of odd size two, since a
    single one would not raise the number of failures that it tolerates.
    """
    voters = configuration.voters
    standbys = health.standbys
    has_even_size = len(voters) % 2 == 0
    if health.lost:
        first_lost = health.lost[0]
        if standbys:
            return (*_without(voters, first_lost), standbys[0])
        if len(voters) > min_voters and (has_even_size or first_lost in health.replaced):
            return _without(voters, first_lost)
    if not health.has_contact_with_all:
        return None
    if has_even_size and standbys:
        return (*voters, standbys[0])
    added = standbys[:VOTERS_ADDED_TO_ODD_GROUP]
    may_gain_two = len(added) == VOTERS_ADDED_TO_ODD_GROUP and len(voters) + len(added) <= MAX_GROUP_SIZE
    return (*voters, *added) if not has_even_size and may_gain_two else None


def _without(voters: tuple[Member, ...], member_id: int) -> tuple[Member, ...]:
    return tuple(member for member in voters if member.id != member_id)


class Reconfiguration:
    """A leader's changes of the voters: one at a time, each through a joint configuration."""

    def __init__(self, state: ReplicaState, replication: LeaderReplication, min_voters: int) -> None:
        self._state = state
        self._replication = replication
        self.min_voters = min_voters
        self._replaced: set[int] = set()  # voters whose address another id has taken
        self._leaving_until: dict[int, float] = {}  # by voter: when its notice of a planned shutdown expires

    def leave(self, member_id: int) -> None:
        """Records that a voter is about to shut down; expires, as the voter may return under the same id."""
        self._leaving_until[member_id] = self._state.now + LEAVE_TIMEOUT_S

    def join(self, member: Member) -> None:
        """Adds a replica as a learner at its request, unless it is a voter already."""
        state = self._state
        replication = self._replication
        for known_id, known in state.configuration.members().items():
            if known.address == member.address and known_id != member.id:
                self._replaced.add(known_id)
        for known_id, known in list(replication.learners.items()):
            if known.address == member.address and known_id != member.id:
                del replication.learners[known_id]
        if not state.configuration.is_voter(member.id):
            replication.learners[member.id] = member
            replication.sync_progress()
            replication.progress[member.id].last_contact_at = state.now

    def tick(self) -> None:
        """Appends the next configuration, if the latest one and an entry of this term are committed."""
        state = self._state
        self._remove_expired_learners()
        if state.commit_index < max(state.log.configuration_index, self._replication.term_start_index):
            return
        if state.configuration.is_joint:
            self._change_to(state.configuration.leave_joint())
        elif voters := next_voters(state.configuration, self._health(), self.min_voters):
            self._change_to(state.configuration.enter_joint(voters))

    def _change_to(self, configuration: MembershipConfig) -> None:
        self._replication.append(EntryKind.CONFIGURATION, configuration.to_bytes())
        for member in configuration.voters:
            self._replication.learners.pop(member.id, None)

    def standbys(self) -> tuple[Member, ...]:
        """Learners that may become voters, the one with the longest log first."""
        progress = self._replication.progress
        standbys = [member for member in self._replication.learners.values() if self._has_caught_up(member.id)]
        return tuple(sorted(standbys, key=lambda member: -progress[member.id].match_index))

    def _health(self) -> GroupHealth:
        state = self._state
        progress = self._replication.progress
        others = [member for member in state.configuration.voters if member.id in progress]
        lost = [member.id for member in others if self._is_lost(member.id)]
        lost.sort(key=lambda member_id: (member_id not in self._replaced, progress[member_id].last_contact_at))
        if self._is_leaving(state.id):
            lost.append(state.id)
        replaced = frozenset(member_id for member_id in lost if member_id in self._replaced)
        has_contact_with_all = not lost and all(self._is_in_contact(member.id) for member in others)
        return GroupHealth(self.standbys(), tuple(lost), replaced, has_contact_with_all)

    def failures_tolerated(self) -> int:
        """How many more voters may fail while the others are still a majority; negative if they are none now."""
        configuration = self._state.configuration
        sides = (side for side in (configuration.voters, configuration.outgoing) if side)
        return min(self._count_in_contact(side) - (len(side) // 2 + 1) for side in sides)

    def meets_fault_tolerance(self) -> bool:
        """Whether no change is under way and the group tolerates as many failures as the deployment asks for."""
        state = self._state
        is_committed = state.commit_index >= state.log.configuration_index
        return not state.configuration.is_joint and is_committed and self.failures_tolerated() >= self.min_voters // 2

    def _count_in_contact(self, voters: Iterable[Member]) -> int:
        return sum(member.id == self._state.id or self._is_in_contact(member.id) for member in voters)

    def _is_in_contact(self, member_id: int) -> bool:
        """Whether a voter has responded in this term, and lately."""
        progress = self._replication.progress.get(member_id)
        if progress is None or progress.stamp == float("-inf"):
            return False
        return self._state.now - progress.last_contact_at < self._state.timing.replaced_voter_timeout_s

    def _is_leaving(self, member_id: int) -> bool:
        return self._state.now < self._leaving_until.get(member_id, float("-inf"))

    def _is_lost(self, member_id: int) -> bool:
        timing = self._state.timing
        progress = self._replication.progress[member_id]
        since_contact_s = self._state.now - progress.last_contact_at
        if member_id in self._replaced:
            return since_contact_s >= timing.replaced_voter_timeout_s or progress.stamp == float("-inf")
        return self._is_leaving(member_id) or since_contact_s >= timing.voter_timeout_s

    def _has_caught_up(self, member_id: int) -> bool:
        progress = self._replication.progress[member_id]
        is_in_contact = self._state.now - progress.last_contact_at < self._state.timing.election_min_s
        missing_entries = self._state.log.last_index - progress.match_index
        is_close = progress.mode is ProgressMode.PIPELINE and missing_entries <= CAUGHT_UP_ENTRIES
        return is_in_contact and is_close and not self._is_leaving(member_id)

    def _remove_expired_learners(self) -> None:
        state = self._state
        replication = self._replication
        oldest = state.now - state.timing.learner_timeout_s
        expired = [
            learner for learner in replication.learners if replication.progress[learner].last_contact_at < oldest
        ]
        for member_id in expired:
            del replication.learners[member_id]
        if expired:
            replication.sync_progress()
