"""The router process: start-up, first table, readiness, drain on SIGTERM, settings, controllers without a quorum."""

import os
import signal
import sys

import gevent
import pytest
import yaml
from gevent import socket, subprocess
from gevent.event import Event

from ochrespan.programs import fleetctl
from tests.fleet_standins import Client, StandInServer, close, event, respond, stream, unused_address
from tests.support.control_plane_world import World, configuration, instance, route

HOST = "models.example"
GRACE_S = 2.0


class RouterProcess:
    """A router process on the loopback interface; tests can wait for its log lines."""

    def __init__(self, directory, seed: tuple[str, int], **other) -> None:
        self.front, self.ready = unused_address(), unused_address()
        self.path = directory / "node.yaml"
        self.settings = {
            "node": "edge-1", "ip": "127.0.0.1", "zone": "hall-a", "port_range": [seed[1], seed[1]],
            "seeds": ["127.0.0.1:1"],
            "listen": {"front": "{}:{}".format(*self.front), "ready": "{}:{}".format(*self.ready)},
            "limits": {"max_fds": 1000}, "bounds": {"grace_s": GRACE_S}, **other,
        }  # fmt: skip
        self.write()
        self.lines: list[str] = []
        self._waiting: list[tuple[str, Event]] = []
        self._process = subprocess.Popen(
            [sys.executable, "-m", "ochrespan.programs.router"],
            env={**os.environ, "OCHRESPAN_SETTINGS": str(self.path)}, stderr=subprocess.PIPE, text=True,
        )  # fmt: skip
        gevent.spawn(self._read)

    def write(self) -> None:
        """Replaces the settings file atomically, as the platform does."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(yaml.safe_dump(self.settings))
        fresh.rename(self.path)

    def wait_for(self, text: str) -> None:
        """Waits until a log line contains the text."""
        found = Event()
        self._waiting.append((text, found))
        if not any(text in line for line in self.lines):
            assert found.wait(10), "".join(self.lines)

    def is_ready(self) -> bool:
        """Whether its readiness check succeeds."""
        client = Client(self.ready)
        client.send(b"GET /api/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
        status = client.read_response().status
        client.close()
        return status == 200

    def put_readiness(self, body: bytes) -> int:
        """Returns the status of a request to drain or activate the router."""
        client = Client(self.ready)
        client.send(b"PUT /api/readiness HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        status = client.read_response().status
        client.close()
        return status

    def metrics(self) -> str:
        """The text of its metrics."""
        client = Client(self.ready)
        client.send(b"GET /api/metrics HTTP/1.1\r\nHost: h\r\n\r\n")
        body = client.read_response().body
        client.close()
        return body.decode()

    def client(self) -> Client:
        """A connection to its address for clients."""
        return Client(self.front)

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        self._process.send_signal(number)

    def exit_code(self) -> int:
        """Its exit status, once it has exited."""
        return self._process.wait(timeout=10)

    def end(self) -> None:
        """Kills the process if it still runs."""
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def _read(self) -> None:
        for line in self._process.stderr:
            self.lines.append(line)
            for text, found in self._waiting:
                if text in line:
                    found.set()


@pytest.fixture
def world():
    """One controller with its feed."""
    world = World()
    world.controllers[0].node.start()
    yield world
    world.close()


@pytest.fixture
def start(tmp_path, world):
    """Starts routers on that feed, with changed settings."""
    started = []

    def start_router(**other) -> RouterProcess:
        router = RouterProcess(tmp_path, world.addresses()[0], **other)
        started.append(router)
        return router

    yield start_router
    for router in started:
        router.end()


def register(world: World, *servers: StandInServer) -> None:
    """Registers each server as an instance."""
    for number, server in enumerate(servers):
        address = f"127.0.0.1:{server.address[1]}"
        status, _ = world.controllers[0].put_instance(f"i-{number}", instance(1, address=address))
        assert status == 200


def configure(world: World) -> None:
    """Puts a configuration with a streaming route and a plain one."""
    routes = [route("r1", hostname=HOST), route("plain", hostname=HOST, route_type="unsafe")]
    assert world.controllers[0].put_config(configuration(1, *routes), 0)[0] == 200


def status_of_unknown_route(client: Client) -> int:
    """The status of a request that no route matches."""
    client.send_request("/unknown/x", id="q4")
    return client.read_response().status


def test_a_router_is_ready_with_its_first_table_and_keeps_serving_without_controllers(world, start):
    server = StandInServer(respond(b"hi"))
    router = start()
    router.wait_for("listening")
    assert not router.is_ready()
    client = router.client()
    client.send_request("/plain/x")
    assert client.read_response().status == 503
    register(world, server)
    configure(world)
    router.wait_for("configuration in force")
    assert router.is_ready()
    client.send_request("/plain/x", id="q2")
    assert client.read_response().body == b"hi"
    groups = world.controllers[0].groups
    groups.quorum_ages = dict.fromkeys(groups.quorum_ages, 60.0)
    with gevent.Timeout(10):
        while status_of_unknown_route(client) != 503:  # the router notices within one heartbeat of the feed
            pass
    assert router.is_ready()
    client.send_request("/plain/x", id="q3")
    assert client.read_response().body == b"hi"


def test_sigterm_ends_readiness_first_then_connections_and_completes_requests_in_flight(world, start):
    continue_stream = Event()
    server = StandInServer(
        stream(1, 2, gate=lambda number: continue_stream.wait() if number > 1 else None), respond(b"late")
    )
    register(world, server)
    configure(world)
    router = start()
    router.wait_for("configuration in force")
    streaming_client, idle_client = router.client(), router.client()
    streaming_client.send_request("/r1/x")
    streaming_client.read_head()
    assert streaming_client.read_chunk() == event(1)
    router.signal(signal.SIGTERM)
    router.wait_for("stopping")
    assert not router.is_ready()
    idle_client.send_request("/plain/x", id="q2")  # still served
    assert idle_client.read_response().body == b"late"
    assert idle_client.is_closed()
    continue_stream.set()
    assert streaming_client.read_chunk() == event(2)
    assert streaming_client.read_chunk() == b""
    assert streaming_client.is_closed()
    assert router.exit_code() == 0
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(router.front)


def test_a_request_longer_than_the_grace_period_is_aborted_also_at_its_instance(world, start):
    server = StandInServer(stream(1, end=lambda received: received.connection.recv(1) or close(received)))
    register(world, server)
    configure(world)
    router = start()
    router.wait_for("configuration in force")
    client = router.client()
    client.send_request("/r1/x")
    client.read_head()
    assert client.read_chunk() == event(1)
    router.signal(signal.SIGTERM)
    with pytest.raises(ConnectionError):
        client.read_chunk()
    assert router.exit_code() == 0
    assert server.peer_disconnected.wait(5)


@pytest.mark.parametrize("sends_signal", [True, False])
def test_changed_settings_are_reloaded_with_and_without_a_signal(start, sends_signal):
    router = start()
    router.wait_for("listening")
    router.settings["seeds"] = ["127.0.0.1:2"]
    router.write()
    if sends_signal:
        router.signal(signal.SIGHUP)
    router.wait_for("settings reloaded")
    router.path.write_text("node: [")
    if sends_signal:
        router.signal(signal.SIGHUP)
    router.wait_for("settings not reloaded")
    router.signal(signal.SIGTERM)
    assert router.exit_code() == 0


@pytest.mark.parametrize(
    ("other", "setting"),
    [({"zone": 7}, "zone"), ({"listen": {"front": "nowhere"}}, "listen.front"), ({"listen": {}}, "listen.front")],
)
def test_invalid_settings_are_reported_with_where_found_and_allowed(start, other, setting):
    router = start(**other)
    assert router.exit_code() == 78
    router.wait_for(setting)
    assert any(setting in line and "found" in line and "allowed" in line for line in router.lines)


def test_metrics_of_a_router_count_its_decisions(world, start):
    server = StandInServer(respond(b"hi"))
    router = start()
    configure(world)
    register(world, server)
    router.wait_for("configuration in force")
    client = router.client()
    client.send_request("/plain/x", id="q1")
    assert client.read_response().status == 200
    metrics = router.metrics()
    assert 'ochrespan_router_decisions_total{decision="send"} 1' in metrics
    assert 'ochrespan_router_attempts_total{outcome="done"} 1' in metrics
    assert "ochrespan_configuration_version 1" in metrics
    assert "ochrespan_router_ready 1" in metrics


def test_an_operators_drain_ends_readiness_only_and_can_be_reverted(world, start, capsys):
    server = StandInServer(respond(b"hi"), respond(b"hi"))
    router = start()
    register(world, server)
    configure(world)
    router.wait_for("configuration in force")
    client, address = router.client(), "{}:{}".format(*router.ready)
    assert fleetctl.main(["router", "drain", address]) == 0
    assert not router.is_ready()
    client.send_request("/plain/x", id="q1")
    assert client.read_response().body == b"hi"  # open connections are still served
    for bad in (b"{cut", b"[]", b'{"drained": 1}', b"{}", b"x" * 2000):
        assert router.put_readiness(bad) == 400
    assert not router.is_ready()
    assert fleetctl.main(["router", "activate", address]) == 0
    assert router.is_ready()
    assert "takes new connections" in capsys.readouterr().out
