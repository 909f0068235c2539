"""Changes of a group's voters: which change a leader makes next, and its two steps through a joint configuration."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .leader import LeaderReplication, ProgressMode
from .membership_config import Member, MembershipConfig
from .messages import EntryKind
from .state import ReplicaState

CAUGHT_UP_ENTRIES = 64  # a learner that lacks no more than this may become a voter
MAX_GROUP_SIZE = 7
LEAVE_TIMEOUT_S = 1.5


@dataclass(frozen=True, slots=True)
class GroupHealth:
    """What a leader knows of the candidates for a change."""

    spares: tuple[Member, ...]  # learners that have caught up
    lost: tuple[int, ...]  # voters that are silent, leave, or came back under another id; the longest lost first
    dead: frozenset[int] = frozenset()  # those of them whose disk is gone: another id has their address
    all_heard: bool = True  # every voter has lately answered this leader


def next_voters(configuration: MembershipConfig, standing: GroupHealth, min_voters: int) -> tuple[Member, ...] | None:
    """The voters that should follow, or None if the group is as it should be.

    A lost voter is exchanged for a spare. Above `min_voters`, a lost voter of an even group is dropped, and a dead one
    of any group. Only a group that is whole grows: else the ids of lost disks could stay in it for good. An even group
    gains one spare, an odd one two, since one more voter would bear no further loss.
    """
    voters, spares = configuration.voters, standing.spares
    if standing.lost and spares:
        return (*_without(voters, standing.lost[0]), spares[0])
    even = len(voters) % 2 == 0
    if standing.lost and len(voters) > min_voters and (even or standing.lost[0] in standing.dead):
        return _without(voters, standing.lost[0])
    if not standing.all_heard:
        return None
    if even and spares:
        return (*voters, spares[0])
    if not even and len(spares) >= 2 and len(voters) + 2 <= MAX_GROUP_SIZE:
        return (*voters, *spares[:2])
    return None


def _without(voters: tuple[Member, ...], member_id: int) -> tuple[Member, ...]:
    return tuple(member for member in voters if member.id != member_id)


class Reconfiguration:
    """The leader's part in changes of members."""

    def __init__(self, core: ReplicaState, replication: LeaderReplication, min_voters: int) -> None:
        self._core, self._replication, self.min_voters = core, replication, min_voters
        self._replaced: set[int] = set()  # voters whose address another id has taken
        self._leaving: dict[int, float] = {}  # voters that have announced their planned end, and until when that counts

    def leave(self, member_id: int) -> None:
        """A voter is about to end; it comes back as any other, so this is forgotten after a while."""
        self._leaving[member_id] = self._core.now + LEAVE_TIMEOUT_S

    def join(self, member: Member) -> None:
        """A replica that is no voter asks to follow the group as a learner."""
        core, replication = self._core, self._replication
        for known_id, known in core.configuration.members().items():
            if known.address == member.address and known_id != member.id:
                self._replaced.add(known_id)
        for known_id, known in list(replication.learners.items()):
            if known.address == member.address and known_id != member.id:
                del replication.learners[known_id]
        if not core.configuration.is_voter(member.id):
            replication.learners[member.id] = member
            replication.sync_progress()
            replication.progress[member.id].last_contact_at = core.now

    def tick(self) -> None:
        core = self._core
        self._forget_silent_learners()
        if core.commit_index < max(core.log.configuration_index, self._replication.term_start_index):
            return
        if core.configuration.joint:
            self._change_to(core.configuration.settled())
        elif voters := next_voters(core.configuration, self._standing(), self.min_voters):
            self._change_to(core.configuration.towards(voters))

    def _change_to(self, configuration: MembershipConfig) -> None:
        self._replication.append(EntryKind.CONFIGURATION, configuration.to_bytes())
        for member in configuration.voters:
            self._replication.learners.pop(member.id, None)

    def spares(self) -> tuple[Member, ...]:
        """Learners that may become voters, the furthest first."""
        progress = self._replication.progress
        spares = [member for member in self._replication.learners.values() if self._has_caught_up(member.id)]
        return tuple(sorted(spares, key=lambda member: -progress[member.id].match_index))

    def _standing(self) -> GroupHealth:
        core, progress = self._core, self._replication.progress
        others = [member for member in core.configuration.voters if member.id in progress]
        lost = [member.id for member in others if self._is_lost(member.id)]
        lost.sort(key=lambda member_id: (member_id not in self._replaced, progress[member_id].last_contact_at))
        if self._is_leaving(core.id):
            lost.append(core.id)
        dead = frozenset(member_id for member_id in lost if member_id in self._replaced)
        all_heard = not lost and all(self._is_heard(member.id) for member in others)
        return GroupHealth(self.spares(), tuple(lost), dead, all_heard)

    def failures_tolerated(self) -> int:
        """How many more voters may be lost at this moment while the others can still decide; below 0: too few can."""
        configuration = self._core.configuration
        sides = (side for side in (configuration.voters, configuration.outgoing) if side)
        return min(self._count_heard(side) - (len(side) // 2 + 1) for side in sides)

    def is_whole(self) -> bool:
        """Whether no change is under way and the group bears all the losses that it is made for."""
        core = self._core
        is_settled = not core.configuration.joint and core.commit_index >= core.log.configuration_index
        return is_settled and self.failures_tolerated() >= self.min_voters // 2

    def _count_heard(self, voters: Iterable[Member]) -> int:
        return sum(member.id == self._core.id or self._is_heard(member.id) for member in voters)

    def _is_heard(self, member_id: int) -> bool:
        """Whether a voter has answered in this term, and not long ago."""
        progress = self._replication.progress.get(member_id)
        if progress is None or progress.stamp == float("-inf"):
            return False
        return self._core.now - progress.last_contact_at < self._core.timing.replaced_voter_timeout_s

    def _is_leaving(self, member_id: int) -> bool:
        return self._core.now < self._leaving.get(member_id, float("-inf"))

    def _is_lost(self, member_id: int) -> bool:
        timing, progress = self._core.timing, self._replication.progress[member_id]
        silent_for = self._core.now - progress.last_contact_at
        if member_id in self._replaced:
            return silent_for >= timing.replaced_voter_timeout_s or progress.stamp == float("-inf")
        return self._is_leaving(member_id) or silent_for >= timing.voter_timeout_s

    def _has_caught_up(self, member_id: int) -> bool:
        progress = self._replication.progress[member_id]
        recent = self._core.now - progress.last_contact_at < self._core.timing.election_min_s
        lacking = self._core.log.last_index - progress.match_index
        follows = progress.mode is ProgressMode.PIPELINE and lacking <= CAUGHT_UP_ENTRIES
        return recent and follows and not self._is_leaving(member_id)

    def _forget_silent_learners(self) -> None:
        core, replication = self._core, self._replication
        oldest = core.now - core.timing.learner_timeout_s
        silent = [known for known in replication.learners if replication.progress[known].last_contact_at < oldest]
        for member_id in silent:
            del replication.learners[member_id]
        if silent:
            replication.sync_progress()
