"""The routing table (hosts, longest prefix, weighted splits, API keys) and the heap of deadlines."""

import zlib

import gevent
import pytest

from ochrespan.control_plane.config.views import Split
from ochrespan.data_plane.deadlines import DeadlineHeap
from ochrespan.data_plane.routing_table import RoutingTable
from tests.fleet_standins import HOST, configuration, route, tenant


def table(*prefixes: str, **other) -> RoutingTable:
    return RoutingTable(configuration(*(route(name=prefix, prefix=prefix, **other) for prefix in prefixes)))


@pytest.mark.parametrize(
    ("path", "found"),
    [
        ("/a/b/c", "/a/b/"),
        ("/a/b/", "/a/b/"),
        ("/a/b", "/a/"),
        ("/a/bc/d", "/a/"),
        ("/a/", "/a/"),
        ("/a", None),
        ("/ab/", None),
        ("/", None),
        ("/" + "x/" * 5000, None),
        ("/a/" + "x/" * 5000, "/a/"),
    ],
)
def test_the_longest_prefix_that_ends_with_a_slash_wins(path, found):
    entry = table("/a/", "/a/b/", "/a/b/c/d/").find(HOST, path)
    assert (entry.route.name if entry else None) == found


def test_hosts_are_matched_without_their_port_and_kept_separate():
    routes = table("/a/")
    assert routes.find(f"{HOST}:8080", "/a/") is not None
    assert routes.find("other.example", "/a/") is None


def test_the_root_route_matches_what_no_other_route_matches():
    assert table("/", "/a/").find(HOST, "/x/y").route.name == "/"


def test_a_split_follows_its_weights_and_is_stable_per_request_id():
    splits = (Split("big", 90), Split("none", 0), Split("small", 10))
    entry = table("/", splits=splits).find(HOST, "/")
    ids = [f"{zlib.crc32(str(number).encode()):08x}" for number in range(20_000)]
    chosen = [entry.service_for(each) for each in ids]
    assert chosen == [entry.service_for(each) for each in ids]
    assert 0.88 < chosen.count("big") / len(ids) < 0.92
    assert chosen.count("none") == 0


def test_api_keys_identify_their_tenants():
    routes = RoutingTable(configuration(tenants=(tenant("acme", "k1", "k2"), tenant("other", "k3"))))
    assert [routes.tenant_of(key).name for key in ("k1", "k2", "k3")] == ["acme", "acme", "other"]
    assert routes.tenant_of("k4") is None


def test_each_of_thousands_of_routes_is_found():
    routes = RoutingTable(
        configuration(*(route(name=str(n), prefix=f"/p{n}/", hostname=f"h{n % 50}.example") for n in range(5000)))
    )
    assert all(routes.find(f"h{n % 50}.example", f"/p{n}/x").route.name == str(n) for n in range(5000))


class FakeLoop:
    """An event loop whose timers fire when the test advances the clock."""

    def __init__(self) -> None:
        self.now = 0.0
        self.timers = []
        self.started = 0

    def timer(self, after: float) -> "FakeTimer":
        timer = FakeTimer(self, self.now + after)
        self.timers.append(timer)
        return timer

    def advance(self, now: float) -> int:
        fired = 0
        while due := [timer for timer in self.timers if timer.callback and timer.at <= now]:
            timer = min(due, key=lambda each: each.at)
            self.now = max(self.now, timer.at)
            callback, timer.callback = timer.callback, None
            callback()
            fired += 1
        self.now = now
        return fired


class FakeTimer:
    def __init__(self, loop: FakeLoop, at: float) -> None:
        self.at = at
        self.callback = None

    def start(self, callback) -> None:
        self.callback = callback

    def close(self) -> None:
        self.callback = None


def test_deadlines_run_in_order_once_and_not_when_cancelled():
    loop, ran = FakeLoop(), []
    heap = DeadlineHeap(loop, lambda: loop.now)
    for at in (3.0, 1.0, 2.0, 1.5):
        heap.schedule(at, lambda at=at: ran.append((at, loop.now)))
    heap.schedule(1.2, lambda: ran.append("cancelled")).cancel()
    heap.schedule(2.5, lambda: heap.schedule(2.6, lambda: ran.append("from within")))
    loop.advance(10.0)
    assert ran == [(1.0, 1.0), (1.5, 1.5), (2.0, 2.0), "from within", (3.0, 3.0)]


def test_a_thousand_cancelled_deadlines_cause_one_wake_up():
    loop = FakeLoop()
    heap = DeadlineHeap(loop, lambda: loop.now)
    for number in range(1000):
        heap.schedule(1.0 + number / 1000, lambda: None).cancel()
    assert loop.advance(10.0) == 1


def test_a_deadline_on_the_real_loop():
    heap = DeadlineHeap(gevent.get_hub().loop)
    done = gevent.event.Event()
    heap.schedule(0.0, done.set)
    assert done.wait(5)
