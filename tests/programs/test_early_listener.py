"""A router accepts connections while it imports its modules, and requests before its first table."""

import gc
import socket

import pytest
import yaml

from ochrespan.data_plane import front as front_module
from ochrespan.programs import router as router_program
from ochrespan.programs import router_process
from ochrespan.programs.early_listener import SETTINGS_VARIABLE, open_front
from ochrespan.programs.router_process import listener_or_address
from tests.fleet_standins import StandInServer, configuration, respond, route, router, unused_address


def settings_file(tmp_path, monkeypatch, text: str) -> None:
    """Writes a settings file, and sets the environment variable that names it."""
    path = tmp_path / "node.yaml"
    path.write_text(text)
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))


def test_connections_wait_in_the_backlog_at_the_address_of_the_settings(tmp_path, monkeypatch):
    address = unused_address()
    settings_file(tmp_path, monkeypatch, yaml.safe_dump({"listen": {"front": "{}:{}".format(*address)}}))
    listener = open_front()
    with listener, socket.create_connection(address, timeout=5) as client:
        client.sendall(b"GET / HTTP/1.1\r\n")
        assert not listener.getblocking()
        assert listener_or_address(address, listener) is listener
        assert open_front() is None  # the address is in use


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "listen: {}",
        "listen: {front: 5}",
        "listen: {front: nowhere}",
        "listen: {front: '10.0.0.1:x'}",
        "listen: {front: '999.0.0.1:80'}",
        "{cut",
        "listen: {front: '127.0.0.1:99999'}",
    ],
)
def test_settings_without_a_usable_address_are_left_to_the_routers_validation(tmp_path, monkeypatch, text):
    settings_file(tmp_path, monkeypatch, text)
    assert open_front() is None


def test_without_a_settings_file_no_listener_is_opened(tmp_path, monkeypatch):
    monkeypatch.setenv(SETTINGS_VARIABLE, str(tmp_path / "nothing.yaml"))
    assert open_front() is None
    monkeypatch.delenv(SETTINGS_VARIABLE)
    assert open_front() is None


def test_a_listener_at_another_address_than_the_validated_settings_name_is_closed():
    listener = socket.create_server(("127.0.0.1", 0))
    assert listener_or_address(("127.0.0.1", 1), listener) == ("127.0.0.1", 1)
    assert listener.fileno() == -1
    assert listener_or_address(("127.0.0.1", 1), None) == ("127.0.0.1", 1)


def test_a_request_just_before_the_first_table_is_served(monkeypatch):
    monkeypatch.setattr(front_module, "FIRST_TABLE_WAIT_S", 30.0)
    with router() as made:
        client = made.client()
        client.send_request("/a")
        made.load(configuration(route()), StandInServer(respond(b"hi")))
        assert client.read_response().body == b"hi"


def test_a_request_without_a_table_in_time_is_rejected_with_retry_after(monkeypatch):
    monkeypatch.setattr(front_module, "FIRST_TABLE_WAIT_S", 0.01)
    with router() as made:
        client = made.client()
        client.send_request("/a")
        rejected = client.read_response()
        assert rejected.status == 503
        assert "Retry-After" in dict(rejected.headers)


def test_garbage_collection_is_off_during_the_imports_of_a_router_and_on_while_it_runs(monkeypatch):
    seen = []
    monkeypatch.setattr(router_program, "open_front", lambda: seen.append(gc.isenabled()))

    def run(_listener):
        seen.append((gc.isenabled(), gc.get_freeze_count() > 0))

    monkeypatch.setattr(router_process, "run", run)
    try:
        router_program.main()
    finally:
        gc.unfreeze()
        gc.enable()
    assert seen == [False, (True, True)]
