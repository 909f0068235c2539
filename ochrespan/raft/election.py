"""Elections of one replica: pre-vote, votes that count once they are persisted, and TimeoutNow of a leader.

Source: Ongaro, "Consensus: Bridging Theory and Practice", sections 3.4, 3.10 and 9.6.
"""

from __future__ import annotations

from collections.abc import Callable

from .messages import RequestVote, RequestVoteResponse, TimeoutNow
from .state import ReplicaState, Role


class Election:
    """Campaigns when there is no contact with a leader, and responds to the vote requests of other replicas."""

    def __init__(self, state: ReplicaState, on_elected: Callable[[], None]) -> None:
        self._state = state
        self._on_elected = on_elected
        self._granted: set[int] = set()  # replicas that have granted the vote, or pre-vote, of this campaign

    def tick(self) -> None:
        """Requests pre-votes once the election deadline has passed."""
        state = self._state
        if state.role is not Role.LEADER and state.now >= state.election_deadline:
            state.reset_pre_vote_deadline()
            if self._may_campaign():
                self._campaign(pre_vote=True, leadership_transfer=False)
            elif state.role is not Role.FOLLOWER:
                state.role = Role.FOLLOWER

    def handle_timeout_now(self, message: TimeoutNow) -> None:
        """The leader transfers its leadership: campaigns without a pre-vote, and voters ignore the leader's lease."""
        state = self._state
        if message.term == state.term and state.role is Role.FOLLOWER and self._may_campaign():
            self._campaign(pre_vote=False, leadership_transfer=True)

    def campaign_after_transfer(self) -> None:
        """Campaigns in the next term, after the successor of this former leader has not taken over in time.

        It has given up its lease, so voters ignore the lease, as in an election that the successor starts.
        """
        if self._may_campaign():
            self._campaign(pre_vote=False, leadership_transfer=True)

    def handle_vote_request(self, candidate: int, request: RequestVote) -> None:
        """Grants or rejects a vote, or a pre-vote.

        While a leader is alive both are rejected, so that a replica that returns from a partition cannot depose it; an
        election that the leader itself has requested is the exception.
        """
        state = self._state
        if request.term < state.term or (self._has_leader() and not request.leadership_transfer):
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

    def handle_vote_response(self, voter: int, response: RequestVoteResponse) -> None:
        """Counts a vote or pre-vote, unless it belongs to an earlier campaign."""
        state = self._state
        if response.term > state.term and not response.granted:
            state.become_follower(response.term, leader_id=0)
            return
        role = Role.PRE_CANDIDATE if response.pre_vote else Role.CANDIDATE
        requested_term = state.term + 1 if response.pre_vote else state.term
        if response.granted and state.role is role and response.term == requested_term:
            self._granted.add(voter)
            self._count_votes()

    def _may_campaign(self) -> bool:
        return self._state.is_voter and not self._state.withholding_votes

    def _has_leader(self) -> bool:
        state = self._state
        return state.role is Role.LEADER or state.now - state.last_leader_contact_at < state.timing.election_min_s

    def _campaign(self, pre_vote: bool, leadership_transfer: bool) -> None:
        """Requests votes from all members, those of both configurations while a change of members is in progress."""
        state = self._state
        state.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        state.leader_id = 0
        self._granted = set()
        if not pre_vote:
            state.enter_term(state.term + 1, vote=state.id)
            state.reset_campaign_deadline()
        requested_term = state.term + 1 if pre_vote else state.term
        request = RequestVote(requested_term, state.log.last_index, state.log.last_term, pre_vote, leadership_transfer)
        send = state.send if pre_vote else state.send_when_persisted
        for member_id in state.configuration.members():
            if member_id != state.id:
                send(member_id, request)
        if pre_vote:
            self._granted.add(state.id)
            self._count_votes()
        else:  # the vote for itself counts as any other: once it is persisted
            state.send_when_persisted(state.id, RequestVoteResponse(state.term, True, False))

    def _count_votes(self) -> None:
        state = self._state
        if not state.configuration.has_majority(self._granted.__contains__):
            return
        if state.role is Role.PRE_CANDIDATE:
            self._campaign(pre_vote=False, leadership_transfer=False)
        else:
            self._on_elected()
