"""Mutual TLS between the processes of the fleet: which peers are accepted, and certificates replaced at run time."""

import contextlib
import logging
import os
from dataclasses import dataclass

import gevent
import pytest
import trustme
import yaml

from ochrespan.common.validation import ValidationError
from ochrespan.programs.settings import parse_settings, secure_peers
from ochrespan.transport import codec, rpc, tcp
from ochrespan.transport.tls import CertificateFiles, MutualTls
from tests.support.replica_hosts import free_port, kill, leader_of, make_host, propose


@codec.message("test.secret")
@dataclass(slots=True)
class Secret:
    text: str


def key_files(folder, authority: trustme.CA) -> CertificateFiles:
    """Writes a new certificate of the authority to the folder, replacing each file atomically."""
    issued = authority.issue_cert("fleet.example")
    contents = {
        "certificate": issued.cert_chain_pems[0],
        "key": issued.private_key_pem,
        "authority": authority.cert_pem,
    }
    for name, content in contents.items():
        content.write_to_path(str(folder / f"{name}.new"))
        os.replace(folder / f"{name}.new", folder / f"{name}.pem")
    return CertificateFiles(*(str(folder / f"{name}.pem") for name in ("certificate", "key", "authority")))


@pytest.fixture
def authority():
    return trustme.CA()


@pytest.fixture
def use_tls():
    yield tcp.secure_connections
    tcp.secure_connections(None)


@pytest.fixture
def server():
    server = rpc.RpcServer(("127.0.0.1", 0))
    server.on_request(Secret, lambda request: Secret(request.text * 2))
    server.start()
    yield server
    server.stop()


def test_calls_of_any_size_pass_between_processes_of_one_authority(tmp_path, authority, use_tls, server):
    use_tls(MutualTls(key_files(tmp_path, authority)))
    caller = rpc.RpcClient(server.address)
    texts = ["a", "b" * 3_000_000, "c"]
    calls = [gevent.spawn(caller.call, Secret(text), 20.0) for text in texts]
    assert [call.get().text for call in calls] == [text * 2 for text in texts]


def test_a_peer_without_tls_is_rejected_and_logged(tmp_path, authority, use_tls, server, caplog):
    plain = tcp.dial(server.address, 5.0)
    gevent.sleep(0)  # accepted while TLS was off; stays open
    use_tls(MutualTls(key_files(tmp_path, authority)))
    with caplog.at_level(logging.WARNING):
        stranger = tcp.socket.create_connection(server.address, timeout=5.0)
        stranger.sendall(b"\x00\x00\x00\x05hello")
        with contextlib.suppress(ConnectionResetError):  # the listener may close with bytes unread
            while stranger.recv(100):
                pass
    assert "connection rejected" in caplog.text
    stranger.close()
    plain.close()


def test_a_peer_with_a_certificate_of_another_authority_gets_no_response(tmp_path, authority, use_tls, server):
    own, foreign = tmp_path / "own", tmp_path / "foreign"
    own.mkdir(), foreign.mkdir()
    security = MutualTls(key_files(own, authority))
    stranger = MutualTls(key_files(foreign, trustme.CA()))

    class MixedTls:
        wrap_client, wrap_server = stranger.wrap_client, security.wrap_server

    use_tls(MixedTls())
    with pytest.raises(rpc.RpcError):
        rpc.RpcClient(server.address).call(Secret("a"), 5.0)
    MixedTls.wrap_client = security.wrap_client
    assert rpc.RpcClient(server.address).call(Secret("a"), 5.0) == Secret("aa")


def test_replaced_certificates_apply_to_new_connections_and_open_ones_stay(
    tmp_path, authority, use_tls, server, caplog
):
    caplog.set_level(logging.INFO)
    use_tls(MutualTls(key_files(tmp_path, authority)))
    old = rpc.RpcClient(server.address)
    assert old.call(Secret("a"), 5.0) == Secret("aa")
    key_files(tmp_path, trustme.CA())
    assert rpc.RpcClient(server.address).call(Secret("b"), 5.0) == Secret("bb")
    assert "peer certificates reloaded" in caplog.text
    assert old.call(Secret("c"), 5.0) == Secret("cc")


def test_during_a_change_of_the_authority_certificates_of_both_are_accepted(tmp_path, authority, use_tls, server):
    old, new, both = (tmp_path / name for name in ("old", "new", "both"))
    for folder in (old, new, both):
        folder.mkdir()
    successor = trustme.CA()
    key_files(old, authority), key_files(new, successor)
    files = key_files(both, successor)
    authorities = (old / "authority.pem").read_text() + (new / "authority.pem").read_text()
    for folder in (old, new, both):
        (folder / "authority.pem").write_text(authorities)
    unchanged = MutualTls(CertificateFiles(*(str(old / f"{name}.pem") for name in ("certificate", "key", "authority"))))

    class MixedTls:
        wrap_client, wrap_server = MutualTls(files).wrap_client, unchanged.wrap_server

    use_tls(MixedTls())
    assert rpc.RpcClient(server.address).call(Secret("a"), 5.0) == Secret("aa")


@pytest.mark.parametrize("spoil", ["certificate", "key", "authority"])
def test_certificates_that_cannot_be_read_change_nothing(tmp_path, authority, use_tls, server, spoil, caplog):
    use_tls(MutualTls(key_files(tmp_path, authority)))
    (tmp_path / f"{spoil}.pem").write_text("spoilt")
    assert rpc.RpcClient(server.address).call(Secret("a"), 5.0) == Secret("aa")
    assert "the previous ones stay" in caplog.text
    (tmp_path / f"{spoil}.pem").unlink()
    assert rpc.RpcClient(server.address).call(Secret("b"), 5.0) == Secret("bb")


def test_raft_groups_bootstrap_and_transfer_leadership_over_tls(tmp_path, authority, use_tls):
    use_tls(MutualTls(key_files(tmp_path, authority)))
    port = free_port()
    hosts = [make_host(tmp_path, number, port) for number in (1, 2, 3)]
    try:
        leader = leader_of(hosts, 0)
        assert propose(hosts, 0, b"one") == 1
        others = [host for host in hosts if host is not leader]
        leader.decline_leadership(600.0)
        leader_of(others, 0)
        assert propose(others, 0, b"two") == 2
    finally:
        for host in hosts:
            kill(host)


def settings(**files) -> dict:
    text = yaml.safe_dump(
        {
            "node": "core-1",
            "ip": "10.0.0.1",
            "zone": "a",
            "port_range": [1, 2],
            "seeds": [],
            "listen": {},
            "peer_tls": files or None,
        }
    )
    return parse_settings(text, "node.yaml")


def test_the_settings_turn_tls_on_and_findings_name_their_faults(tmp_path, authority, use_tls):
    secure_peers(settings())  # TLS is off unless the settings ask for it
    assert tcp._security is None
    files = key_files(tmp_path, authority)
    secure_peers(settings(certificate=files.certificate, key=files.key, authority=files.authority))
    assert tcp._security is not None
    with pytest.raises(ValidationError, match="peer_tls.key"):
        settings(certificate=files.certificate, authority=files.authority)
    with pytest.raises(ValidationError, match="PEM files"):
        secure_peers(settings(certificate=files.certificate, key=files.key, authority=str(tmp_path / "nothing.pem")))
    with pytest.raises(ValidationError, match="PEM files"):
        secure_peers(settings(certificate=files.certificate, key=files.certificate, authority=files.authority))
