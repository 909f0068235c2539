"""The record of decisions: what it holds for each way a request can end, sampling, and its setting in service."""

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


class Written:
    """A log of decisions whose lines the test reads."""

    def __init__(self, share: float = 1.0) -> None:
        self.lines: list[str] = []
        self.log = DecisionLog(share, self.lines.append)

    def one(self) -> dict:
        with gevent.Timeout(5):
            while not self.lines:
                gevent.idle()
        (line,) = self.lines
        return json.loads(line)


def real_scheduler() -> Scheduler:
    return Scheduler("zone", 7, retry_ratio=0.2, retry_slack=100.0, retry_window=0.0001)


def ask(made, view, *servers, headers: str = USAGE + PROMPT):
    made.load(view, *servers)
    client = made.client()
    client.send_request(headers=headers)
    return client


def test_a_stream_is_recorded_with_its_attempt_and_final_answer():
    written = Written()
    with router(real_scheduler(), decision_log=written.log, quotas=ScriptedQuotas([UNLIMITED])) as made:
        view = configuration(route(kind="streaming"), tenants=(LIMITED,))
        assert ask(made, view, StandInServer(stream(1, 2, 3))).read_response().complete
    record = written.one()
    told = {name: record[name] for name in ("id", "route", "tenant", "tokens_in", "tokens_out", "shared", "prefix")}
    assert told == {
        "id": "q1", "route": "r", "tenant": "acme", "tokens_in": 1460, "tokens_out": 80, "shared": 700,
        "prefix": "aa,bb",
    }  # fmt: skip
    assert (record["status"], record["quota_asked"], record["quota_tokens"]) == (200, 1, 1540)
    (attempt,) = record["attempts"]
    assert (attempt["server"], attempt["choice"], attempt["outcome"]) == ("i-0", HOME, "done")
    assert 0 <= attempt["promoted"] <= attempt["sent"] <= attempt["first"] <= attempt["ended"] <= record["ended"]
    assert record["last_event"] >= attempt["first"]


def test_each_attempt_of_a_stream_that_is_taken_up_is_recorded():
    written = Written()
    steps = iter([stream(1, end=close), stream(2)])
    servers = [StandInServer(lambda received: next(steps)(received)) for _ in range(2)]
    with router(real_scheduler(), decision_log=written.log) as made:
        view = configuration(route(kind="streaming", resumable=True))
        assert ask(made, view, *servers, headers="").read_response().complete
    record = written.one()
    assert record["status"] == 200
    assert [attempt["outcome"] for attempt in record["attempts"]] == ["lost", "done"]
    assert {attempt["server"] for attempt in record["attempts"]} == {"i-0", "i-1"}


def test_a_request_that_is_refused_by_its_quota_is_recorded():
    written = Written()
    quotas = ScriptedQuotas([TokenReservation(False, 0.01), TokenReservation(False, 0.75)])
    with router(decision_log=written.log, quotas=quotas) as made:
        client = ask(made, configuration(route(), tenants=(LIMITED,)), StandInServer(respond()))
        assert client.read_response().status == 429
    record = written.one()
    assert (record["status"], record["retry_after"], record["attempts"]) == (429, 0.75, [])
    assert record["quota_asked"] == 2 and record["quota_wait"] >= 10


def test_a_client_that_leaves_is_recorded_without_a_status():
    written = Written()
    server = StandInServer(stall)
    with router(real_scheduler(), decision_log=written.log) as made:
        client = ask(made, configuration(route()), server, headers="")
        with gevent.Timeout(5):
            while not server.requests:
                gevent.idle()
        client.close()
        record = written.one()
    assert record["status"] == 0
    assert [attempt["outcome"] for attempt in record["attempts"]] == ["cancelled"]


def test_a_client_that_leaves_while_its_request_waits_for_tokens_is_recorded():
    written = Written()
    quotas = ScriptedQuotas([TokenReservation(False, 1.0)])
    with router(decision_log=written.log, quotas=quotas) as made:
        view = configuration(route(target_latency_ms=50_000.0), tenants=(LIMITED,))
        client = ask(made, view, StandInServer(respond()))
        with gevent.Timeout(5):
            while not quotas.taken:
                gevent.idle()
        client.close()
        record = written.one()
    assert (record["status"], record["attempts"], record["tenant"]) == (0, [], "acme")


def test_a_request_whose_body_does_not_come_is_recorded_once():
    written = Written()
    quotas = ScriptedQuotas([UNLIMITED])
    with router(decision_log=written.log, quotas=quotas) as made:
        made.load(configuration(route(), tenants=(LIMITED,)), StandInServer(respond()))
        send_partial_request(made, quotas).close()
        assert written.one()["status"] == 0


def test_a_refusal_of_the_scheduler_is_recorded_with_its_pause():
    written = Written()
    with router(decision_log=written.log) as made:
        client = ask(made, configuration(route()), headers="")
        assert client.read_response().status == 503
    assert (written.one()["status"], written.one()["retry_after"]) == (503, 0.25)


def test_nothing_is_recorded_by_default():
    written = Written(share=0.0)
    with router(decision_log=written.log) as made:
        client = ask(made, configuration(route()), StandInServer(respond()), headers="")
        assert client.read_response().status == 200
        assert made.scheduler.submitted[0].record is None
    assert not written.lines and DecisionLog().begin("q", 0.0) is None


def test_all_routers_sample_the_same_requests():
    logs = [DecisionLog(0.25, print) for _ in range(2)]
    chosen = [{n for n in range(2000) if log.begin(f"q{n}", 0.0) is not None} for log in logs]
    assert chosen[0] == chosen[1] and 400 < len(chosen[0]) < 600


def recorded(made, number: int, **changes) -> DecisionRecord:
    record = DecisionRecord(f"r{number}", 0.0)
    submit(made, number, record=record, **changes)
    return record


@pytest.mark.parametrize(
    ("changes", "choice"), [({"home": "i2"}, HOME), ({"home": ""}, HOME), ({"tokens_in": 0, "prefix": ()}, ANY)]
)
def test_the_choice_of_the_server_is_told(changes, choice):
    (attempt,) = recorded(scheduler(), 1, **changes).attempts
    assert attempt.choice == choice and not attempt.beyond_window


def test_a_prompt_that_left_its_home_is_told_as_moved():
    made = scheduler(servers=3, capacity=64)
    for number in range(12):
        submit(made, number, home="i1", tokens_in=40_000, prefix=(("p", 39_000), ("o", 1000)))
    record = recorded(made, 99, home="i1", tokens_in=700, prefix=(("q", 100), ("o", 600)))
    assert record.attempts[0].choice == MOVED
    assert record.attempts[0].server != "i1"


def test_a_send_beyond_the_window_is_told_with_its_waits():
    made = scheduler(servers=1, capacity=64)
    number = 0
    while submit(made, number, like=PLAIN):
        number += 1
    record = DecisionRecord("late", 0.0)
    submit(made, 500, like=PLAIN, record=record)
    assert not record.attempts
    made.tick(100.0 + 0.2 * PLAIN.aim)
    (attempt,) = record.attempts
    assert attempt.beyond_window and attempt.sent == pytest.approx(100.0)
    made.ended(100.4, "r500", Outcome.DONE)
    assert (attempt.outcome, attempt.ended) == ("done", pytest.approx(400.0))
