"""The membership agent over loopback datagrams."""

import pytest

from ochrespan.membership import messages as swim
from ochrespan.membership.agent import MembershipAgent, MembershipSettings
from ochrespan.membership.errors import MalformedMessageError
from ochrespan.membership.member_table import MemberUpdate
from ochrespan.membership.wire import SwimDatagram, pack, unpack
from ochrespan.transport import codec
from tests.support.replica_hosts import free_port, until

UPDATE = MemberUpdate("10.0.0.1", 7500, "router", "hall-a", "edge-1", 0, 3, 4)


@pytest.mark.parametrize(
    "value",
    [
        swim.Ping(1, [UPDATE]),
        swim.Ack(2, []),
        swim.Nack(3),
        swim.PingRequest(4, "10.0.0.2", 7500, [UPDATE, UPDATE]),
        swim.Sync(True, [UPDATE]),
    ],
)
def test_a_message_survives_packing_and_unpacking(value):
    assert unpack(codec.decode(codec.encode(pack(value)))) == value


@pytest.mark.parametrize("datagram", [SwimDatagram(9, [], []), SwimDatagram(0, [], []), SwimDatagram(0, [1], [[1]])])
def test_a_malformed_datagram_raises_the_error_that_the_agent_catches(datagram):
    with pytest.raises(MalformedMessageError):
        unpack(datagram)


def test_agents_find_each_other_by_the_seeds_and_see_a_planned_shutdown():
    port = free_port()
    seeds = (("127.0.0.1", port),)
    agents = [
        MembershipAgent(
            MembershipSettings((f"127.0.0.{number}", port), seeds, role, "hall-a", f"node-{number}"), lambda: None
        )
        for number, role in [(1, "controller"), (2, "router"), (3, "router")]
    ]
    for agent in agents:
        agent.start()
    until(lambda: all(len(agent.alive()) == 3 for agent in agents), "full list")
    assert [member.node for member in agents[0].alive("router")] == ["node-2", "node-3"]
    agents[2].stop()
    until(lambda: [member.node for member in agents[0].alive("router")] == ["node-2"], "end of a member")
    for agent in agents[:2]:
        agent.stop()


def test_a_fault_in_a_step_does_not_end_the_protocol(monkeypatch, caplog):
    port = free_port()
    agent = MembershipAgent(MembershipSettings(("127.0.0.1", port), (), "router", "hall-a", "edge-1"), lambda: None)
    tick = agent._protocol.tick
    ticks: list[float] = []

    def fail_first(now: float) -> None:
        ticks.append(now)
        if len(ticks) == 1:
            raise KeyError("a fault of the program")
        tick(now)

    monkeypatch.setattr(agent._protocol, "tick", fail_first)
    agent.start()
    try:
        until(lambda: len(ticks) > 1, "a step after the one that failed")
    finally:
        agent.stop()
    assert "membership step failed, continuing" in caplog.text
