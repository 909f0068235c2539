"""Changes of a group's voters: which change a leader makes next, and its two steps through a joint configuration."""

from __future__ import annotations

from dataclasses import dataclass

from .configuration import Configuration, Member
from .core import ReplicaCore
from .messages import EntryKind
from .replication import Mode, Replication

CAUGHT_UP_ENTRIES = 64  # a learner that lacks no more than this may become a voter
LARGEST_GROUP = 7
LEAVING_S = 1.5


@dataclass(frozen=True, slots=True)
class Standing:
    """What a leader knows of the candidates for a change."""

    spares: tuple[Member, ...]  # learners that have caught up
    lost: tuple[int, ...]  # voters that are silent, leave, or came back under another id; the longest lost first


def next_voters(configuration: Configuration, standing: Standing, smallest: int) -> tuple[Member, ...] | None:
    """The voters that should follow, or None if the group is as it should be.

    A lost voter is exchanged for a spare. An even group gains a spare, or loses a lost voter while more than `smallest`
    are left. An odd group grows by two, since one more voter would bear no further loss.
    """
    voters, spares = configuration.voters, standing.spares
    if standing.lost and spares:
        kept = [member for member in voters if member.id != standing.lost[0]]
        return (*kept, spares[0])
    even = len(voters) % 2 == 0
    if even and spares:
        return (*voters, spares[0])
    if even and standing.lost and len(voters) > smallest:
        return tuple(member for member in voters if member.id != standing.lost[0])
    if not even and len(spares) >= 2 and len(voters) + 2 <= LARGEST_GROUP:
        return (*voters, *spares[:2])
    return None


class Reconfiguration:
    """The leader's part in changes of members."""

    def __init__(self, core: ReplicaCore, replication: Replication, smallest: int) -> None:
        self._core, self._replication, self._smallest = core, replication, smallest
        self._replaced: set[int] = set()  # voters whose address another id has taken
        self._leaving: dict[int, float] = {}  # voters that have announced their planned end, and until when that counts

    def leave(self, member_id: int) -> None:
        """A voter is about to end; it comes back as any other, so this is forgotten after a while."""
        self._leaving[member_id] = self._core.now + LEAVING_S

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
            replication.follow_members()
            replication.progress[member.id].heard_at = core.now

    def tick(self) -> None:
        core = self._core
        self._forget_silent_learners()
        if core.commit_index < max(core.log.configuration_index, self._replication.term_start_index):
            return
        if core.configuration.joint:
            self._change_to(core.configuration.settled())
        elif voters := next_voters(core.configuration, self._standing(), self._smallest):
            self._change_to(core.configuration.towards(voters))

    def _change_to(self, configuration: Configuration) -> None:
        self._replication.append(EntryKind.CONFIGURATION, configuration.to_bytes())
        for member in configuration.voters:
            self._replication.learners.pop(member.id, None)

    def spares(self) -> tuple[Member, ...]:
        """Learners that may become voters, the furthest first."""
        progress = self._replication.progress
        spares = [member for member in self._replication.learners.values() if self._has_caught_up(member.id)]
        return tuple(sorted(spares, key=lambda member: -progress[member.id].match))

    def _standing(self) -> Standing:
        core, progress = self._core, self._replication.progress
        others = [member for member in core.configuration.voters if member.id in progress]
        lost = [member.id for member in others if self._is_lost(member.id)]
        lost.sort(key=lambda member_id: (member_id not in self._replaced, progress[member_id].heard_at))
        if self._is_leaving(core.id):
            lost.append(core.id)
        return Standing(self.spares(), tuple(lost))

    def _is_leaving(self, member_id: int) -> bool:
        return self._core.now < self._leaving.get(member_id, float("-inf"))

    def _is_lost(self, member_id: int) -> bool:
        timing = self._core.timing
        silent_for = self._core.now - self._replication.progress[member_id].heard_at
        limit = timing.replaced_silence_s if member_id in self._replaced else timing.voter_silence_s
        return self._is_leaving(member_id) or silent_for >= limit

    def _has_caught_up(self, member_id: int) -> bool:
        progress = self._replication.progress[member_id]
        recent = self._core.now - progress.heard_at < self._core.timing.election_min_s
        lacking = self._core.log.last_index - progress.match
        follows = progress.mode is Mode.PIPELINE and lacking <= CAUGHT_UP_ENTRIES
        return recent and follows and not self._is_leaving(member_id)

    def _forget_silent_learners(self) -> None:
        core, replication = self._core, self._replication
        oldest = core.now - core.timing.learner_silence_s
        silent = [known for known in replication.learners if replication.progress[known].heard_at < oldest]
        for member_id in silent:
            del replication.learners[member_id]
        if silent:
            replication.follow_members()
