"""Elections of one replica: pre-vote, votes that are counted once durable, hand-over by the leader."""

from __future__ import annotations

from collections.abc import Callable

from .messages import RequestVote, RequestVoteResponse, TimeoutNow
from .state import ReplicaState, Role


class Election:
    """Campaigns when no leader is heard, and answers the campaigns of others."""

    def __init__(self, state: ReplicaState, on_elected: Callable[[], None]) -> None:
        self._state, self._on_elected = state, on_elected
        self._granted: set[int] = set()

    def tick(self) -> None:
        state = self._state
        if state.role is not Role.LEADER and state.now >= state.election_deadline:
            state.reset_pre_vote_deadline()
            if state.is_voter and not state.withholding_votes:
                self._begin(pre_vote=True, leadership_transfer=False)
            elif state.role is not Role.FOLLOWER:
                state.role = Role.FOLLOWER

    def campaign_now(self, message: TimeoutNow) -> None:
        """The leader hands over: no pre-vote, and the leader's lease is no reason to refuse."""
        state = self._state
        if (
            message.term == state.term
            and state.role is Role.FOLLOWER
            and state.is_voter
            and not state.withholding_votes
        ):
            self._begin(pre_vote=False, leadership_transfer=True)

    def answer(self, candidate: int, request: RequestVote) -> None:
        state = self._state
        if request.term < state.term or self._has_leader() and not request.leadership_transfer:
            state.send(candidate, RequestVoteResponse(state.term, False, request.pre_vote))
            return
        up_to_date = (request.last_term, request.last_index) >= (state.log.last_term, state.log.last_index)
        if request.pre_vote:
            granted = up_to_date and request.term > state.term
            state.send(candidate, RequestVoteResponse(request.term if granted else state.term, granted, True))
            return
        if request.term > state.term:
            state.become_follower(request.term, leader_id=0)
        granted = up_to_date and state.vote in (0, candidate) and state.role is not Role.LEADER
        if granted and not state.vote:
            state.role = Role.FOLLOWER
            state.cast_vote(candidate)
            state.reset_election_deadline()
        state.send_when_persisted(candidate, RequestVoteResponse(state.term, granted, False))

    def count(self, voter: int, reply: RequestVoteResponse) -> None:
        state = self._state
        if reply.term > state.term and not reply.granted:
            state.become_follower(reply.term, leader_id=0)
            return
        wanted = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        asked_term = state.term + 1 if reply.pre_vote else state.term
        if reply.granted and state.role is wanted and reply.term == asked_term:
            self._granted.add(voter)
            self._decide()

    def _has_leader(self) -> bool:
        state = self._state
        return state.role is Role.LEADER or state.now - state.last_leader_contact_at < state.timing.election_min_s

    def _begin(self, pre_vote: bool, leadership_transfer: bool) -> None:
        state = self._state
        state.role, state.leader_id = (Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE), 0
        self._granted = set()
        if not pre_vote:
            state.enter_term(state.term + 1, vote=state.id)
            state.reset_campaign_deadline()
        asked_term = state.term + 1 if pre_vote else state.term
        request = RequestVote(asked_term, state.log.last_index, state.log.last_term, pre_vote, leadership_transfer)
        for member_id in state.configuration.members():
            if member_id != state.id:
                state.send(member_id, request) if pre_vote else state.send_when_persisted(member_id, request)
        if pre_vote:
            self._granted.add(state.id)
            self._decide()
        else:
            state.send_when_persisted(state.id, RequestVoteResponse(state.term, True, False))

    def _decide(self) -> None:
        state = self._state
        if not state.configuration.has_majority(self._granted.__contains__):
            return
        if state.role is Role.PRE_CANDIDATE:
            self._begin(pre_vote=False, leadership_transfer=False)
        else:
            self._on_elected()
