"""Elections of one replica: pre-vote, votes that are counted once durable, hand-over by the leader."""

from __future__ import annotations

from collections.abc import Callable

from .messages import RequestVote, RequestVoteResponse, TimeoutNow
from .state import ReplicaState, Role


class Election:
    """Campaigns when no leader is heard, and answers the campaigns of others."""

    def __init__(self, core: ReplicaState, on_elected: Callable[[], None]) -> None:
        self._core, self._on_elected = core, on_elected
        self._granted: set[int] = set()

    def tick(self) -> None:
        core = self._core
        if core.role is not Role.LEADER and core.now >= core.election_deadline:
            core.reset_pre_vote_deadline()
            if core.is_voter and not core.withholding_votes:
                self._begin(pre_vote=True, leadership_transfer=False)
            elif core.role is not Role.FOLLOWER:
                core.role = Role.FOLLOWER

    def campaign_now(self, message: TimeoutNow) -> None:
        """The leader hands over: no pre-vote, and the leader's lease is no reason to refuse."""
        core = self._core
        if message.term == core.term and core.role is Role.FOLLOWER and core.is_voter and not core.withholding_votes:
            self._begin(pre_vote=False, leadership_transfer=True)

    def answer(self, candidate: int, request: RequestVote) -> None:
        core = self._core
        if request.term < core.term or self._has_leader() and not request.leadership_transfer:
            core.send(candidate, RequestVoteResponse(core.term, False, request.pre_vote))
            return
        up_to_date = (request.last_term, request.last_index) >= (core.log.last_term, core.log.last_index)
        if request.pre_vote:
            granted = up_to_date and request.term > core.term
            core.send(candidate, RequestVoteResponse(request.term if granted else core.term, granted, True))
            return
        if request.term > core.term:
            core.become_follower(request.term, leader_id=0)
        granted = up_to_date and core.vote in (0, candidate) and core.role is not Role.LEADER
        if granted and not core.vote:
            core.role = Role.FOLLOWER
            core.cast_vote(candidate)
            core.reset_election_deadline()
        core.send_when_durable(candidate, RequestVoteResponse(core.term, granted, False))

    def count(self, voter: int, reply: RequestVoteResponse) -> None:
        core = self._core
        if reply.term > core.term and not reply.granted:
            core.become_follower(reply.term, leader_id=0)
            return
        wanted = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        asked_term = core.term + 1 if reply.pre_vote else core.term
        if reply.granted and core.role is wanted and reply.term == asked_term:
            self._granted.add(voter)
            self._decide()

    def _has_leader(self) -> bool:
        core = self._core
        return core.role is Role.LEADER or core.now - core.last_leader_contact_at < core.timing.election_min_s

    def _begin(self, pre_vote: bool, leadership_transfer: bool) -> None:
        core = self._core
        core.role, core.leader_id = (Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE), 0
        self._granted = set()
        if not pre_vote:
            core.enter_term(core.term + 1, vote=core.id)
            core.reset_campaign_deadline()
        asked_term = core.term + 1 if pre_vote else core.term
        request = RequestVote(asked_term, core.log.last_index, core.log.last_term, pre_vote, leadership_transfer)
        for member_id in core.configuration.members():
            if member_id != core.id:
                core.send(member_id, request) if pre_vote else core.send_when_durable(member_id, request)
        if pre_vote:
            self._granted.add(core.id)
            self._decide()
        else:
            core.send_when_durable(core.id, RequestVoteResponse(core.term, True, False))

    def _decide(self) -> None:
        core = self._core
        if not core.configuration.has_majority(self._granted.__contains__):
            return
        if core.role is Role.PRE_CANDIDATE:
            self._begin(pre_vote=False, leadership_transfer=False)
        else:
            self._on_elected()
