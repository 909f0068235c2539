"""Three replica hosts in one process, with real files and loopback sockets."""

import gevent
import pytest

from ochrespan.control_plane.replication import host as host_module
from ochrespan.control_plane.replication.errors import NotLeaderError
from ochrespan.control_plane.replication.host import ReplicaHost
from tests.support.replica_hosts import Journal, free_port, host_settings, kill, leader_of, make_host, propose, until


@pytest.fixture
def core(tmp_path):
    port = free_port()
    hosts = {number: make_host(tmp_path, number, port) for number in (1, 2, 3)}
    yield tmp_path, port, hosts
    for host in hosts.values():
        kill(host)


def commands(host, shard: int) -> list[bytes]:
    machine: Journal = host._applier.machines[shard]
    return machine.commands


def test_a_host_that_has_not_read_its_disk_leads_no_shard_and_knows_no_members(tmp_path):
    host = ReplicaHost(host_settings(tmp_path, 1, free_port()), {0: Journal()})
    for call in (lambda: host.propose(0, b"one", 1.0), lambda: host.read_barrier(0, 1.0)):
        with pytest.raises(NotLeaderError) as caught:
            call()
        assert caught.value.leader is None
    assert (host.is_leader(0), host.leader(0), host.voters(0)) == (False, None, set())
    assert (host.cluster(), host.applied_index(0), host.failures_tolerated(0)) == (0, 0, None)
    assert (host.seconds_since_quorum(0), host.lease_age_s(0)) == (float("inf"), float("inf"))


def test_a_command_reaches_every_replica_and_its_result_the_proposer(core):
    _, _, hosts = core
    assert propose(hosts.values(), 0, b"one") == 1  # a new group accepts commands once all initial members are voters
    leader = leader_of(hosts.values(), 0)
    assert leader.propose(0, b"two", 5.0) == 2
    until(lambda: all(commands(host, 0) == [b"one", b"two"] for host in hosts.values()), "command everywhere")
    leader.read_barrier(0, 5.0)
    other = next(host for host in hosts.values() if host is not leader)
    with pytest.raises(NotLeaderError) as caught:
        other.propose(0, b"three", 1.0)
    assert caught.value.leader == leader.settings.address


def test_a_new_group_accepts_commands_once_all_initial_members_are_there_or_an_operator_says_so(tmp_path):
    port = free_port()
    hosts = {number: make_host(tmp_path, number, port) for number in (1, 2)}
    try:
        leader = leader_of(hosts.values(), 0)
        absent = host_settings(tmp_path, 3, port).address
        until(lambda: leader.missing_initial_members() == [absent], "missing member")
        assert leader.cluster() == 0
        with pytest.raises(NotLeaderError):
            leader.propose(0, b"early", 1.0)
        for host in hosts.values():
            host.proceed_without_missing()
        propose(hosts.values(), 0, b"one")
        assert leader.missing_initial_members() == []
        hosts[3] = make_host(tmp_path, 3, port)
        until(lambda: commands(hosts[3], 0) == [b"one"], "command at the late member")
        assert len({host.cluster() for host in hosts.values()} - {0}) == 1
    finally:
        for host in hosts.values():
            kill(host)


def test_commands_survive_the_kill_of_all_and_of_the_leader(core):
    folder, port, hosts = core
    propose(hosts.values(), 1, b"one")
    for host in hosts.values():
        kill(host)
    hosts.update({number: make_host(folder, number, port, bootstrap=False) for number in (1, 2, 3)})
    propose(hosts.values(), 1, b"two")
    killed = next(number for number, host in hosts.items() if host is leader_of(hosts.values(), 1))
    kill(hosts.pop(killed))
    propose(hosts.values(), 1, b"three")
    until(lambda: all(commands(host, 1)[:2] == [b"one", b"two"] for host in hosts.values()), "commands at both")


def test_a_planned_stop_transfers_leadership(core):
    _, _, hosts = core
    leader = leader_of(hosts.values(), 2)
    others = [host for host in hosts.values() if host is not leader]
    propose(hosts.values(), 2, b"one")
    stopped = gevent.spawn(leader.stop)
    leader_of(others, 2)
    stopped.join()
    assert not leader.is_leader(2)


def test_a_replacement_at_another_address_replaces_a_lost_voter(core):
    folder, port, hosts = core
    propose(hosts.values(), 0, b"one")
    kill(hosts.pop(3))
    hosts[4] = make_host(folder, 4, port, bootstrap=False)
    voters = {hosts[number].settings.address for number in (1, 2, 4)}

    until(lambda: all(hosts[4].voters(shard) == voters for shard in (0, 1, 2)), "replacement")
    kill(hosts.pop(2))
    propose(hosts.values(), 0, b"two")
    until(lambda: commands(hosts[4], 0) == [b"one", b"two"], "both commands at the replacement")


def test_a_command_or_a_callback_that_raises_does_not_stop_the_replicas(core):
    _, _, hosts = core
    propose(hosts.values(), 0, b"first")
    leader = leader_of(hosts.values(), 0)
    for host in hosts.values():
        machine, apply = host._applier.machines[0], host._applier.machines[0].apply
        machine.apply = lambda index, command, apply=apply: 1 // 0 if command == b"bad" else apply(index, command)
        host.on_applied = lambda shard, index, command, result: 1 // 0 if command == b"worse" else None
    assert leader.propose(0, b"bad", 5.0) is None
    propose(hosts.values(), 0, b"worse")
    propose(hosts.values(), 0, b"good")
    until(lambda: all(commands(host, 0)[-1:] == [b"good"] for host in hosts.values()), "last command everywhere")


def test_a_host_that_declines_leadership_transfers_it_and_stays_a_voter(core):
    _, _, hosts = core
    for shard in (0, 1, 2):
        leader_of(hosts.values(), shard)
    declining = leader_of(hosts.values(), 0)
    others = [host for host in hosts.values() if host is not declining]
    declining.decline_leadership(600.0)
    until(lambda: not any(declining.is_leader(shard) for shard in (0, 1, 2)), "transfer")
    for shard in (0, 1, 2):
        leader_of(others, shard)
    propose(hosts.values(), 0, b"one")
    until(lambda: commands(declining, 0) == [b"one"], "command at the host that declines")
    declining.decline_leadership(0.0)
    assert declining.declines_leadership_for() == 0.0


def test_hosts_that_all_decline_leadership_lead_nevertheless(core):
    _, _, hosts = core
    leader_of(hosts.values(), 0)
    for host in hosts.values():
        host.decline_leadership(600.0)
    until(
        lambda: all(
            replica.state.withholding_votes or host.declines_leadership_for() == 0.0
            for host in hosts.values()
            for replica in host._running.multi_raft.replicas.values()
        ),
        "hosts that decline",
    )
    for shard in (0, 1, 2):
        assert propose(hosts.values(), shard, b"one")


def test_a_recovery_that_fails_is_logged(tmp_path, monkeypatch, caplog):
    monkeypatch.setattr(host_module, "recover", lambda data_dir: 1 // 0)
    host = make_host(tmp_path, 1, free_port())
    until(lambda: "replica host not started" in caplog.text, "log line")
    kill(host)
    assert not host.is_leader(0)
