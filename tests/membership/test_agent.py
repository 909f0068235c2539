"""The membership driver over loopback datagrams."""

import pytest

from ochrespan.membership import messages as swim
from ochrespan.membership.agent import MembershipAgent, MembershipSettings
from ochrespan.membership.member_table import MemberUpdate
from ochrespan.membership.wire import SwimDatagram, pack, unpack
from ochrespan.transport import codec
from tests.support.replica_hosts import free_port, until

NEWS = MemberUpdate("10.0.0.1", 7500, "router", "hall-a", "edge-1", 0, 3, 4)


@pytest.mark.parametrize(
    "value",
    [
        swim.Ping(1, [NEWS]),
        swim.Ack(2, []),
        swim.Nack(3),
        swim.PingRequest(4, "10.0.0.2", 7500, [NEWS, NEWS]),
        swim.Sync(True, [NEWS]),
    ],
)
def test_a_message_survives_the_way_there_and_back(value):
    assert unpack(codec.decode(codec.encode(pack(value)))) == value


@pytest.mark.parametrize("datagram", [SwimDatagram(9, [], []), SwimDatagram(0, [], []), SwimDatagram(0, [1], [[1]])])
def test_a_malformed_datagram_raises_what_the_driver_catches(datagram):
    with pytest.raises((ValueError, TypeError, IndexError)):
        unpack(datagram)


def test_drivers_find_each_other_by_the_seeds_and_heed_a_planned_end():
    port = free_port()
    seeds = (("127.0.0.1", port),)
    drivers = [
        MembershipAgent(
            MembershipSettings((f"127.0.0.{number}", port), seeds, role, "hall-a", f"node-{number}"), lambda: None
        )
        for number, role in [(1, "controller"), (2, "router"), (3, "router")]
    ]
    for driver in drivers:
        driver.start()
    until(lambda: all(len(driver.alive()) == 3 for driver in drivers), "full list")
    assert [member.node for member in drivers[0].alive("router")] == ["node-2", "node-3"]
    drivers[2].stop()
    until(lambda: [member.node for member in drivers[0].alive("router")] == ["node-2"], "end of a member")
    for driver in drivers[:2]:
        driver.stop()
