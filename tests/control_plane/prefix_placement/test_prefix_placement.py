"""Prefix placement: decided by the owner, replicated, and cached at the routers."""

from __future__ import annotations

import pytest

from ochrespan.control_plane.owner_calls import NotOwnerResponse, OwnerClient
from ochrespan.control_plane.prefix_placement.client import OWNER_BACKOFF_S, PrefixPlacementClient
from ochrespan.control_plane.prefix_placement.messages import PrefixPlacement, PrefixPlacementRequest
from ochrespan.control_plane.prefix_placement.owner import PrefixPlacementOwner
from ochrespan.control_plane.registry.commands import RegisterInstance
from ochrespan.control_plane.registry.prefix_placements import MAX_PREFIXES, AssignPrefixes, PrefixPlacements
from ochrespan.control_plane.registry.records import record_fields, record_from_document
from ochrespan.control_plane.registry.state_machine import InstanceStateMachine
from ochrespan.control_plane.replication.errors import OutcomeUnknownError
from ochrespan.control_plane.shards import shard_of
from ochrespan.transport import compact
from ochrespan.transport.codec import encode
from ochrespan.transport.rpc import RpcError

OWNER, OTHER = ("10.0.0.1", 7500), ("10.0.0.2", 7500)
SHARD = shard_of("llm")


class Groups:
    """Replica groups that commit at once, or not at all if the test sets `commits` to False."""

    def __init__(self, machine: InstanceStateMachine) -> None:
        self.machine, self.leads, self.commits, self.index = machine, True, True, 0

    def is_leader(self, shard: int) -> bool:
        return self.leads

    def leader(self, shard: int):
        return OTHER

    def propose(self, shard: int, command: bytes, timeout: float):
        if not self.commits:
            raise OutcomeUnknownError("not committed in time")
        self.index += 1
        return self.machine.apply(self.index, command)


class Owner:
    """An owner whose batches are replicated when the test calls `replicate`."""

    def __init__(self, servers: int = 3, machine: InstanceStateMachine | None = None) -> None:
        self.machine = machine or InstanceStateMachine()
        self.groups = Groups(self.machine)
        self.batches: list = []
        self.owner = PrefixPlacementOwner(
            self.groups, {SHARD: self.machine}, lambda call, *given: self.batches.append((call, given))
        )
        for number in range(servers):
            self.register(number)

    def register(self, number: int, state: str = "ready", sequence: int = 1) -> None:
        document = {
            "backend": "llm", "address": f"10.1.0.{number}:80", "state": state, "sequence": sequence, "zone": "a",
            "generation": "v1", "capacity": 8, "cold_remaining_ms": 0,
        }  # fmt: skip
        self.machine.apply(0, encode(RegisterInstance(record_fields(record_from_document(f"i{number}", document)))))

    def place(self, prefix: str, tokens: float = 1000.0, unusable: str = "") -> str:
        return self.owner.assign(PrefixPlacementRequest("llm", prefix, tokens, unusable)).instance

    def replicate(self) -> None:
        while self.batches:
            call, given = self.batches.pop(0)
            call(*given)


def test_prefixes_are_balanced_by_their_tokens():
    harness = Owner()
    tokens: dict[str, float] = {}
    for number in range(60):
        size = 500.0 + 700 * (number % 9)
        instance_id = harness.place(f"p{number}", size)
        tokens[instance_id] = tokens.get(instance_id, 0.0) + size
        if number % 7 == 0:
            harness.replicate()
    assert max(tokens.values()) - min(tokens.values()) <= 500 + 700 * 8


@pytest.mark.parametrize("replicated", [False, True])
def test_all_routers_get_the_same_placement(replicated):
    harness = Owner()
    first = harness.place("p")
    if replicated:
        harness.replicate()
    assert {harness.place("p") for _ in range(5)} == {first}


def test_only_an_instance_that_is_gone_draining_or_unusable_loses_its_prefixes():
    harness = Owner()
    placements = {f"p{number}": harness.place(f"p{number}") for number in range(9)}
    harness.replicate()
    harness.register(1, "draining", 2)
    after = {prefix: harness.place(prefix) for prefix in placements}
    assert all(after[prefix] == instance_id for prefix, instance_id in placements.items() if instance_id != "i1")
    assert "i1" not in after.values()
    assert harness.place("p0", unusable=after["p0"]) != after["p0"]
    assert Owner(servers=0).place("p") == ""


def test_replicated_placements_outlive_all_controllers():
    harness = Owner()
    placements = {f"p{number}": harness.place(f"p{number}") for number in range(9)}
    harness.replicate()
    restored = InstanceStateMachine()
    restored.restore(harness.machine.snapshot())
    again = Owner(servers=0, machine=restored)
    assert {prefix: again.place(prefix) for prefix in placements} == placements


def test_a_snapshot_of_an_earlier_version_is_restored():
    harness = Owner()
    records, departed, _ = compact.unpack(harness.machine.snapshot())
    restored = InstanceStateMachine()
    restored.restore(compact.pack([records, departed]))
    assert Owner(servers=0, machine=restored).place("p") in harness.machine.records


def test_uncommitted_placements_remain_while_the_owner_leads():
    harness = Owner()
    harness.groups.commits = False
    placements = {f"p{number}": harness.place(f"p{number}") for number in range(5)}
    harness.replicate()
    assert {prefix: harness.place(prefix) for prefix in placements} == placements
    harness.owner.leadership_changed(SHARD, False)
    harness.groups.leads = False
    assert harness.owner.assign(PrefixPlacementRequest("llm", "p0", 1.0)) == NotOwnerResponse(*OTHER)


def test_the_replicated_placements_are_bounded():
    placements = PrefixPlacements()
    for number in range(MAX_PREFIXES + 50):
        placements.assign(AssignPrefixes("llm", [(f"p{number}", f"i{number % 3}", 10.0)]))
    assert len(placements.fields()["llm"]) == MAX_PREFIXES and placements.instance_of("llm", "p0") == ""
    assert sum(placements.tokens(f"i{number}") for number in range(3)) == 10.0 * MAX_PREFIXES
    assert PrefixPlacements(placements.fields()).fields() == placements.fields()


class Calls:
    """A client whose calls get the given replies in order, and are recorded in `requests`."""

    def __init__(self, *replies) -> None:
        self.replies, self.requests, self.now, self.usable = list(replies), [], 100.0, {"i1", "i2"}
        self.client = PrefixPlacementClient(
            OwnerClient(lambda service: [OWNER], self.call),
            lambda service, instance: instance in self.usable,
            lambda: self.now,
        )

    def call(self, address, request, timeout):
        self.requests.append((address, request.unusable))
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


def test_a_router_requests_a_placement_once_and_again_when_its_instance_is_gone():
    harness = Calls(PrefixPlacement("i1"), PrefixPlacement("i2"))
    assert [harness.client.locate("llm", "p", 1000) for _ in range(3)] == [PrefixPlacement("i1")] * 3
    harness.usable.discard("i1")
    assert harness.client.locate("llm", "p", 1000) == PrefixPlacement("i2")
    assert harness.requests == [(OWNER, ""), (OWNER, "i1")]


def test_a_router_follows_to_the_owner_and_backs_off_where_none_responds():
    harness = Calls(NotOwnerResponse(*OTHER), PrefixPlacement("i1"), RpcError("no"), PrefixPlacement("i2"))
    assert harness.client.locate("llm", "p", 1000) == PrefixPlacement("i1")
    assert [address for address, _ in harness.requests] == [OWNER, OTHER]
    assert [harness.client.locate("llm", "q", 1000) for _ in range(2)] == [PrefixPlacement("")] * 2
    assert len(harness.requests) == 3
    harness.now += OWNER_BACKOFF_S
    assert harness.client.locate("llm", "q", 1000) == PrefixPlacement("i2")


def test_an_instance_that_the_router_does_not_know_is_not_used():
    harness = Calls(PrefixPlacement("i9"))
    assert harness.client.locate("llm", "p", 1000) == PrefixPlacement("")


def test_a_placement_is_new_in_the_first_response_of_the_owner_only():
    harness = Owner()
    responses = [harness.owner.assign(PrefixPlacementRequest("llm", "p", 1000.0)) for _ in range(2)]
    assert [response.is_new for response in responses] == [True, False]
    moved = harness.owner.assign(PrefixPlacementRequest("llm", "p", 1000.0, responses[0].instance))
    assert moved.is_new and moved.instance != responses[0].instance


def test_a_placement_is_new_for_the_first_request_of_a_router_only():
    harness = Calls(PrefixPlacement("i1", is_new=True))
    assert [harness.client.locate("llm", "p", 1000).is_new for _ in range(2)] == [True, False]
