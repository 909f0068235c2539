"""Decision records: contents for each way a request can end, sampling, and the default."""

import json
from dataclasses import replace

import gevent
import pytest

from ochrespan.control_plane.config.views import QuotaUnit
from ochrespan.control_plane.quota.client import UNLIMITED, TokenReservation
from ochrespan.data_plane.decision_record import ANY, HOME, MOVED, DecisionLog, DecisionRecord
from ochrespan.data_plane.scheduler import Outcome, Scheduler
from tests.fleet_standins import StandInServer, close, configuration, respond, route, router, stall, stream, tenant
from tests.scheduling import PLAIN, scheduler, submit
from tests.test_router_quotas import USAGE, ScriptedQuotas, send_partial_request

LIMITED = replace(tenant("acme", "key"), unit=QuotaUnit.TOKENS, rate_per_s=1000.0)
PROMPT = "X-Prompt-Prefix: aa:400,bb:300,cc:760\r\n"


class CapturedRecords:
    """A decision log that collects its lines for the test."""

    def __init__(self, sample_rate: float = 1.0) -> None:
        self.lines: list[str] = []
        self.log = DecisionLog(sample_rate, self.lines.append)

    def only_record(self) -> dict:
        with gevent.Timeout(5):
            while not self.lines:
                gevent.idle()
        (line,) = self.lines
        return json.loads(line)


def real_scheduler() -> Scheduler:
    return Scheduler("zone", 7, retry_ratio=0.2, retry_slack=100.0, retry_window=0.0001)


def send_request(fixture, view, *servers, headers: str = USAGE + PROMPT):
    fixture.load(view, *servers)
    client = fixture.client()
    client.send_request(headers=headers)
    return client


def test_a_stream_is_recorded_with_its_attempt_and_final_answer():
    captured = CapturedRecords()
    with router(real_scheduler(), decision_log=captured.log, quotas=ScriptedQuotas([UNLIMITED])) as fixture:
        view = configuration(route(kind="streaming"), tenants=(LIMITED,))
        assert send_request(fixture, view, StandInServer(stream(1, 2, 3))).read_response().complete
    record = captured.only_record()
    summary = {name: record[name] for name in ("id", "route", "tenant", "tokens_in", "tokens_out", "shared", "prefix")}
    assert summary == {
        "id": "q1", "route": "r", "tenant": "acme", "tokens_in": 1460, "tokens_out": 80, "shared": 700,
        "prefix": "aa,bb",
    }  # fmt: skip
    assert (record["status"], record["quota_asked"], record["quota_tokens"]) == (200, 1, 1540)
    (attempt,) = record["attempts"]
    assert (attempt["server"], attempt["choice"], attempt["outcome"]) == ("i-0", HOME, "done")
    assert 0 <= attempt["promoted"] <= attempt["sent"] <= attempt["first"] <= attempt["ended"] <= record["ended"]
    assert record["last_event"] >= attempt["first"]


def test_each_attempt_of_a_resumed_stream_is_recorded():
    captured = CapturedRecords()
    steps = iter([stream(1, end=close), stream(2)])
    servers = [StandInServer(lambda received: next(steps)(received)) for _ in range(2)]
    with router(real_scheduler(), decision_log=captured.log) as fixture:
        view = configuration(route(kind="streaming", resumable=True))
        assert send_request(fixture, view, *servers, headers="").read_response().complete
    record = captured.only_record()
    assert record["status"] == 200
    assert [attempt["outcome"] for attempt in record["attempts"]] == ["lost", "done"]
    assert {attempt["server"] for attempt in record["attempts"]} == {"i-0", "i-1"}


def test_a_request_that_is_refused_by_its_quota_is_recorded():
    captured = CapturedRecords()
    quotas = ScriptedQuotas([TokenReservation(False, 0.01), TokenReservation(False, 0.75)])
    with router(decision_log=captured.log, quotas=quotas) as fixture:
        client = send_request(fixture, configuration(route(), tenants=(LIMITED,)), StandInServer(respond()))
        assert client.read_response().status == 429
    record = captured.only_record()
    assert (record["status"], record["retry_after"], record["attempts"]) == (429, 0.75, [])
    assert record["quota_asked"] == 2 and record["quota_wait"] >= 10


def test_a_client_that_leaves_is_recorded_without_a_status():
    captured = CapturedRecords()
    server = StandInServer(stall)
    with router(real_scheduler(), decision_log=captured.log) as fixture:
        client = send_request(fixture, configuration(route()), server, headers="")
        with gevent.Timeout(5):
            while not server.requests:
                gevent.idle()
        client.close()
        record = captured.only_record()
    assert record["status"] == 0
    assert [attempt["outcome"] for attempt in record["attempts"]] == ["cancelled"]


def test_a_client_that_leaves_while_its_request_waits_for_tokens_is_recorded():
    captured = CapturedRecords()
    quotas = ScriptedQuotas([TokenReservation(False, 1.0)])
    with router(decision_log=captured.log, quotas=quotas) as fixture:
        view = configuration(route(target_latency_ms=50_000.0), tenants=(LIMITED,))
        client = send_request(fixture, view, StandInServer(respond()))
        with gevent.Timeout(5):
            while not quotas.taken:
                gevent.idle()
        client.close()
        record = captured.only_record()
    assert (record["status"], record["attempts"], record["tenant"]) == (0, [], "acme")


def test_a_request_with_an_incomplete_body_is_recorded_once():
    captured = CapturedRecords()
    quotas = ScriptedQuotas([UNLIMITED])
    with router(decision_log=captured.log, quotas=quotas) as fixture:
        fixture.load(configuration(route(), tenants=(LIMITED,)), StandInServer(respond()))
        send_partial_request(fixture, quotas).close()
        assert captured.only_record()["status"] == 0


def test_a_refusal_of_the_scheduler_is_recorded_with_its_retry_after():
    captured = CapturedRecords()
    with router(decision_log=captured.log) as fixture:
        client = send_request(fixture, configuration(route()), headers="")
        assert client.read_response().status == 503
    assert (captured.only_record()["status"], captured.only_record()["retry_after"]) == (503, 0.25)


def test_nothing_is_recorded_by_default():
    captured = CapturedRecords(sample_rate=0.0)
    with router(decision_log=captured.log) as fixture:
        client = send_request(fixture, configuration(route()), StandInServer(respond()), headers="")
        assert client.read_response().status == 200
        assert fixture.scheduler.submitted[0].record is None
    assert not captured.lines and DecisionLog().begin("q", 0.0) is None


def test_all_routers_sample_the_same_requests():
    logs = [DecisionLog(0.25, print) for _ in range(2)]
    chosen = [{n for n in range(2000) if log.begin(f"q{n}", 0.0) is not None} for log in logs]
    assert chosen[0] == chosen[1] and 400 < len(chosen[0]) < 600


def submit_recorded(fixture, number: int, **changes) -> DecisionRecord:
    record = DecisionRecord(f"r{number}", 0.0)
    submit(fixture, number, record=record, **changes)
    return record


@pytest.mark.parametrize(
    ("changes", "choice"),
    [({"affinity_server_id": "i2"}, HOME), ({"affinity_server_id": ""}, HOME), ({"tokens_in": 0, "prefix": ()}, ANY)],
)
def test_the_reason_for_the_server_is_recorded(changes, choice):
    (attempt,) = submit_recorded(scheduler(), 1, **changes).attempts
    assert attempt.choice == choice and not attempt.beyond_window


def test_a_prompt_that_left_its_affinity_server_is_recorded_as_moved():
    fixture = scheduler(servers=3, capacity=64)
    for number in range(12):
        submit(fixture, number, affinity_server_id="i1", tokens_in=40_000, prefix=(("p", 39_000), ("o", 1000)))
    record = submit_recorded(fixture, 99, affinity_server_id="i1", tokens_in=700, prefix=(("q", 100), ("o", 600)))
    assert record.attempts[0].choice == MOVED
    assert record.attempts[0].server != "i1"


def test_a_send_beyond_the_window_is_recorded_with_its_times():
    fixture = scheduler(servers=1, capacity=64)
    number = 0
    while submit(fixture, number, template=PLAIN):
        number += 1
    record = DecisionRecord("late", 0.0)
    submit(fixture, 500, template=PLAIN, record=record)
    assert not record.attempts
    fixture.tick(100.0 + 0.2 * PLAIN.latency_target_s)
    (attempt,) = record.attempts
    assert attempt.beyond_window and attempt.sent == pytest.approx(100.0)
    fixture.ended(100.4, "r500", Outcome.DONE)
    assert (attempt.outcome, attempt.ended) == ("done", pytest.approx(400.0))
