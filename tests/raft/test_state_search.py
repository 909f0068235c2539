"""Bounded exhaustive search of the replica group; the large budgets are played by benchmarks/soak_core.py."""

import pytest

from ochrespan.raft.membership_config import MembershipConfig
from ochrespan.raft.state import ReplicaState
from tests.support.raft_simulation.checks import Violation
from tests.support.raft_simulation.search import Budget, State, search

WIPED_MEMBER_STATES = 2172


@pytest.mark.parametrize(
    ("budget", "states"),
    [
        (Budget(timeouts=1, commands=2, crashes=0), 575),
        (Budget(timeouts=1, commands=1, crashes=1), 1177),
        (Budget(timeouts=1, commands=2, crashes=0, cuts=1), 2190),
    ],
)
def test_every_schedule_of_a_small_budget_keeps_the_rules(budget, states):
    found = search(budget, max_states=10_000)
    assert found.complete
    assert found.states == states  # a change of the protocol changes it: look at what became possible
    assert found.committed == budget.commands + 1


@pytest.mark.parametrize(
    "budget",
    [
        Budget(timeouts=2, commands=1, crashes=0),
        Budget(timeouts=2, commands=0, crashes=1),
        Budget(timeouts=1, commands=1, crashes=0, wipes=1, changes=2),
        Budget(timeouts=2, commands=1, crashes=0, wipes=1, changes=1, power=1),
        Budget(timeouts=2, commands=1, crashes=1, wipes=1, changes=1),
    ],
)
def test_the_nearest_schedules_of_a_larger_budget_keep_the_rules(budget):
    assert search(budget, max_states=1_000).states == 1_000


def test_every_schedule_with_a_wiped_initial_member_keeps_the_rules():
    """It comes back under a new id before, amid or after the first election, and all others lose power once."""
    found = search(Budget(timeouts=1, commands=1, crashes=0, wipes=1, power=1), max_states=10_000)
    assert found.complete
    assert found.states == WIPED_MEMBER_STATES


def test_the_search_finds_a_wiped_member_that_comes_back_under_its_id(monkeypatch):
    def same_id(self, replica_id):
        self._spend(wipes=1)
        self._lose_messages_to(replica_id)
        self.disks[replica_id] = []
        self._restart(replica_id)

    monkeypatch.setattr(State, "_wipe", same_id)
    with pytest.raises(Violation, match="lost command|two histories|two leaders"):
        search(Budget(timeouts=2, commands=1, crashes=0, wipes=1), max_states=40_000)


def test_the_search_finds_an_election_by_less_than_a_majority(monkeypatch):
    monkeypatch.setattr(
        MembershipConfig, "has_majority", lambda self, agreeing: any(agreeing(member.id) for member in self.voters)
    )
    with pytest.raises(Violation, match="two leaders of one term"):
        search(Budget(timeouts=2, commands=0, crashes=0), max_states=20_000)


def test_the_search_finds_an_acknowledgement_before_the_write(monkeypatch):
    """A follower ends between its acknowledgement and its write, and then elects a leader without the command."""
    monkeypatch.setattr(ReplicaState, "send_when_persisted", ReplicaState.send)
    monkeypatch.setattr(ReplicaState, "needs_write", lambda _self: False)
    with pytest.raises(Violation):
        search(Budget(timeouts=2, commands=0, crashes=1), max_states=20_000)
