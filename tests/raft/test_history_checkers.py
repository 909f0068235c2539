"""Each checker of the simulation reports the fault that it was written for. The tests plant these faults."""

import dataclasses

import pytest

from ochrespan.raft.bootstrap import Bootstrap
from ochrespan.raft.leader import LeaderReplication
from ochrespan.raft.membership_config import MembershipConfig
from ochrespan.raft.replica import Replica
from ochrespan.raft.state import ReplicaState
from tests.support.raft_simulation.checks import Violation
from tests.support.raft_simulation.faults import play
from tests.support.raft_simulation.world import World

SEEDS = 60


def caught(rules: set[str], kinds: tuple[str, ...], gap_s: float = 0.7) -> str:
    """Plays seeds until a checker reports a violation, whose rule has to be one of `rules`."""
    for seed in range(SEEDS):
        try:
            play(World(seed), 15.0, gap_s, kinds)
        except Violation as violation:
            assert violation.rule in rules, str(violation)
            return violation.rule
        except AssertionError:
            continue  # no progress, which a planted fault may also cause
    pytest.fail(f"none of {sorted(rules)} was reported in {SEEDS} seeds")


def test_an_acknowledgement_before_the_sync_is_caught_as_a_lost_order(monkeypatch):
    monkeypatch.setattr(ReplicaState, "send_when_persisted", ReplicaState.send)
    caught({"lost command", "two histories"}, ("power_all", "slow_disk"))


def test_a_commitment_without_a_majority_is_caught_as_a_lost_order(monkeypatch):
    def of_one(self, value_of):
        return max(value_of(member.id) for member in self.voters)

    monkeypatch.setattr(MembershipConfig, "majority_value", of_one)
    caught({"lost command", "two histories", "stale read"}, ("isolate", "kill"))


def test_a_forgotten_vote_is_caught_as_two_votes_or_two_leaders_of_one_term(monkeypatch):
    original = ReplicaState.cast_vote

    def forget(self, candidate):
        original(self, candidate)
        self.vote = 0

    monkeypatch.setattr(ReplicaState, "cast_vote", forget)
    caught({"two votes of one term", "two leaders of one term"}, ("kill_all", "cut_one_way", "cut"))


def test_a_state_machine_that_goes_back_is_caught(monkeypatch):
    original = ReplicaState.become_follower

    def forget_applied(self, term, leader_id):
        original(self, term, leader_id)
        self.applied_index = self.log.snapshot.index

    monkeypatch.setattr(ReplicaState, "become_follower", forget_applied)
    caught({"version going back"}, ("kill", "isolate"))


def test_a_wiped_replica_that_keeps_its_id_is_caught_when_it_starts(monkeypatch):
    original = Bootstrap.begin.__func__

    def by_address(cls, settings, known, random_source, now):
        bootstrap = original(cls, settings, known, random_source, now)
        if known is None:
            number = int(settings.address[0].rsplit(".", 1)[1])
            bootstrap.identity = dataclasses.replace(bootstrap.identity, replica_id=number)
        return bootstrap

    monkeypatch.setattr(Bootstrap, "begin", classmethod(by_address))
    caught({"an id with two disks"}, ("wipe", "final"))


def test_a_read_without_a_confirmed_majority_is_caught_as_stale(monkeypatch):
    monkeypatch.setattr(Replica, "take_reads", lambda self: self._reads.take_all())
    caught({"stale read"}, ("isolate",))


def test_a_lease_that_lasts_too_long_is_caught_as_two_owners(monkeypatch):
    monkeypatch.setattr("tests.support.raft_simulation.checks.LEASE_DURATION_S", 1.0)
    caught({"two owners"}, ("isolate", "freeze"))


def test_a_lease_from_responses_over_ended_connections_is_caught(monkeypatch):
    monkeypatch.setattr(LeaderReplication, "discard_acknowledgements", lambda _self, _address: None)
    caught({"two owners"}, ("cut_reset",))


def test_an_election_by_less_than_a_majority_is_caught(monkeypatch):
    def half(self, agreeing):
        return any(agreeing(member.id) for member in self.voters)

    monkeypatch.setattr(MembershipConfig, "has_majority", half)
    caught({"two leaders of one term", "two histories", "lost command"}, ("isolate", "kill_all"))


def test_a_leader_that_commits_what_it_has_not_persisted_is_caught(monkeypatch):
    def in_memory(self, member_id):
        state = self._state
        return state.log.last_index if member_id == state.id else self.progress[member_id].match_index

    monkeypatch.setattr(LeaderReplication, "_match_index", in_memory)
    caught({"lost command", "two histories"}, ("final", "power_all", "slow_disk"), gap_s=0.4)
