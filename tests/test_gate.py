"""The core and its gate: every request settles its grant exactly once, with the actual cost."""

import asyncio
from datetime import timedelta

import pytest

from ochrespan.broker import Broker
from ochrespan.net.chunk_client import UpstreamRequest, UpstreamResponse, serve
from ochrespan.requests import (
    Claim,
    Failed,
    ListKind,
    Node,
    NotCovered,
    Outcome,
    OverBudget,
    Refused,
    Request,
    Status,
    Unacceptable,
)

from .helpers import settings


class Hold:
    plan, team = "free", "a"

    def __init__(self, attempts: int) -> None:
        self.attempts = attempts


class Gate:
    def __init__(self, answer=None, attempts: int = 3, more: int = 0) -> None:
        self.answer, self.attempts, self.more = answer, attempts, more
        self.settled: list[tuple[int, int]] = []
        self.admitted, self.heard_units = 0, 0.0

    def admit(self, now, request):
        self.admitted += 1
        return self.answer or Hold(self.attempts)

    def extend(self, now, hold):
        if self.more:
            self.more -= 1
            hold.attempts += 1

    def release(self, now, hold, sent, ran):
        self.settled.append((sent, ran))

    def record_usage_elsewhere(self, now, hold, units):
        self.heard_units += units


class Client:
    """Ends each attempt as the script says; `hang` waits until the attempt is cancelled or times out."""

    def __init__(self, *script) -> None:
        self.script, self.out = list(script), 0

    async def send(self, attempt, message):
        action = self.script.pop(0)
        self.out += 1
        if action == "break":
            raise RuntimeError("something of ours")
        if action == "hang":
            try:
                async with attempt.time_limit():
                    await asyncio.Event().wait()
            except TimeoutError:
                action = Status.TIMEOUT
        outcome = Outcome(attempt, action, timedelta(seconds=0.01), elsewhere=4.0)
        return outcome, UpstreamResponse(200, b"", {}) if action is Status.OK else None


async def run(script, gate: Gate, cls: str = "read", plan: str = "", leave: bool = False, end: bool = False, **more):
    broker = Broker(settings(max_attempts=3, **more))
    broker.set_admission_gate(gate)
    broker.update_servers(ListKind.FULL, [Node("n0", 0)])
    client = Client(*script)
    request = Request("v", cls, plan, timedelta(seconds=1), 2.0, 0, claim=Claim(token="t"))
    if end:
        broker.complete_within(timedelta(seconds=0.05))
    task = asyncio.create_task(serve(broker, client, request, UpstreamRequest("GET", "/")))
    if leave:
        while not client.out:
            await asyncio.sleep(0.001)
        task.cancel()
    got = (await asyncio.gather(task, return_exceptions=True))[0]
    assert broker.pending == 0
    broker.close()
    return got, client, broker


@pytest.mark.parametrize(
    ("script", "more", "kind", "cost"),
    [
        ([Status.OK], {}, UpstreamResponse, (1, 1)),
        (
            [Status.FULL, Status.RESET, Status.OK],
            {},
            UpstreamResponse,
            (3, 2),
        ),  # the first was rejected: sent, but never ran
        ([Status.FULL, Status.ERROR, Status.ERROR], {}, Refused, (3, 2)),
        ([Status.ERROR] * 3, {}, Refused, (3, 3)),
        ([Status.ERROR], {"cls": "once"}, Failed, (1, 1)),
        (["hang"], {"leave": True}, asyncio.CancelledError, (1, 1)),
        (["break"], {}, RuntimeError, (1, 1)),
        (["hang"], {"end": True}, Refused, (1, 1)),
        ([], {"plan": "made-up"}, Unacceptable, (0, 0)),
    ],
)
def test_every_request_settles_once_with_its_actual_cost(script, more, kind, cost):
    gate = Gate()
    if more.get("plan"):
        Hold.plan = more["plan"]  # a plan that the settings do not define
    try:
        got, client, _ = asyncio.run(run(script, gate, **more))
    finally:
        Hold.plan = "free"
    assert isinstance(got, kind) and gate.settled == [cost] and not client.script
    assert gate.admitted == 1


@pytest.mark.parametrize(("attempts", "more", "sent"), [(1, 0, 1), (1, 1, 2), (1, 5, 3), (2, 0, 2), (3, 0, 3)])
def test_unpaid_retry_is_not_sent(attempts, more, sent):
    gate = Gate(attempts=attempts, more=more)
    got, client, _ = asyncio.run(run([Status.ERROR] * 3, gate))
    assert isinstance(got, Refused) and client.out == sent and gate.settled == [(sent, sent)]


@pytest.mark.parametrize("answer", [NotCovered("class", "a"), OverBudget("open", "a", timedelta(seconds=1))])
def test_request_refused_by_the_gate_never_reaches_the_scheduler(answer):
    gate = Gate(answer)
    got, client, broker = asyncio.run(run([], gate))
    assert got is answer and not gate.settled and client.out == 0
    assert (broker.counts.not_covered, broker.counts.over_budget) == (
        (1, 0) if isinstance(answer, NotCovered) else (0, 1)
    )
    assert not broker.counts.usage


def test_gate_gets_units_served_elsewhere_and_no_invalid_requests():
    gate = Gate()
    asyncio.run(run([Status.OK], gate))
    assert gate.heard_units == 4.0

    async def scenario():
        broker = Broker(settings())
        broker.set_admission_gate(gate)
        for request in (
            Request("v", "made-up", "", timedelta(1), claim=Claim()),
            Request("v", "read", "", timedelta(1), units=1e9, claim=Claim()),
        ):
            with pytest.raises(Unacceptable):
                await broker.pick(request)
        broker.close()

    gate.admitted = 0
    asyncio.run(scenario())
    assert gate.admitted == 0
