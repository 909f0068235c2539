"""The table of lost worth and the paired rounds: causes, the bound, joined tries, and intervals."""

import pytest

from benchmarks.paired_rounds import differences, interval
from benchmarks.worth_lost import (
    AT_ROUTER,
    AT_SERVER,
    BY_QUOTA,
    BY_US,
    CAME_BACK,
    FAULT,
    FIRST_READ,
    FOR_QUOTA,
    PAUSED,
    READ_AGAIN,
    SIZE,
    Engine,
    Judge,
    Kind,
    prices,
    records,
    requests_of,
    unrecorded,
)

CHAT = Kind("chat", worth=2.0, late_worth=0.2, aim_ms=500.0, gap_ms=400.0, mean_size=10_000.0)
ENGINE = Engine(first_ms=1.0, step_ms=4.0, tokens_per_ms=50.0, pairs_ms_per_million=0.0)
PROMPT = {"tokens_in": 10_000, "tokens_out": 0, "shared": 8_000, "prefix": "p"}


def attempt(**changes) -> dict:
    return {"server": "i1", "kept": True, "sent": 10.0, "first": 60.0, "outcome": "done"} | changes


def record(*attempts: dict, at: float = 0.0, **changes) -> dict:
    return {
        "route": "r", "tenant": "t", "aim": 500.0, "status": 200, "quota_wait": 5.0, "longest_pause": 0.0,
        "ended": 100.0, "at": at, "attempts": list(attempts or [attempt()]), **PROMPT, **changes,
    }  # fmt: skip


def judged(*tries: dict, read: bool = True):
    judge = Judge(ENGINE)
    if read:
        judge.judge(asked(record()))
    return judge.judge(asked(*tries))


def asked(*tries: dict):
    (request,) = requests_of([(each["at"], each) for each in tries], [CHAT])
    return request


@pytest.mark.parametrize(
    ("tries", "read", "lost", "cause"),
    [
        ([record()], True, 0.0, ""),
        ([record(attempt(first=600.0))], True, 1.8, AT_SERVER),
        ([record(attempt(sent=550.0, first=600.0))], True, 1.8, AT_ROUTER),
        ([record(attempt(sent=550.0, first=600.0), quota_wait=540.0)], True, 1.8, FOR_QUOTA),
        ([record(longest_pause=401.0)], True, 1.8, PAUSED),
        ([record(attempt(first=600.0, kept=False), tokens_in=26_000, shared=24_000)], False, None, FIRST_READ),
        ([record(attempt(first=600.0, kept=False), tokens_in=26_000, shared=24_000)], True, None, READ_AGAIN),
        ([record(attempt(first=900.0), tokens_in=40_000, shared=8_000)], True, None, SIZE),
        ([record(attempt(first=None, outcome="lost"), attempt(first=600.0))], True, 1.8, FAULT),
        ([record(status=429, attempts=[])], True, 2.0, BY_QUOTA),
        ([record(status=503, attempts=[])], True, 2.0, BY_US),
        ([record(status=0)], True, 2.0, FAULT),
        ([record(status=429, attempts=[]), record(at=1.0)], True, 0.9, CAME_BACK),
    ],
)
def test_what_is_lost_has_its_cause(tries, read, lost, cause):
    found, why, _ = judged(*tries, read=read)
    assert why == cause
    if lost is not None:
        assert found == pytest.approx(lost)


def test_the_bound_earns_all_that_an_idle_server_reads_in_time():
    assert judged(record())[2] == 2.0
    assert judged(record(tokens_in=40_000, shared=0))[2] == pytest.approx(0.1 * CHAT.worth_of(record(tokens_in=40_000)))
    large = record(tokens_in=26_000, shared=24_000)
    assert judged(large)[2] == CHAT.worth_of(large)
    assert judged(large, read=False)[2] < CHAT.worth_of(large)


def test_records_are_found_between_other_lines_and_routes_are_told_by_aim_and_size():
    lines = [
        "   1.5000 edge-1 INFO something else\n",
        '   2.0000 edge-1 {"ended":500.0,"route":"a","tenant":"t"}\n',
        "  -3.0 edge-2 {not a record\n",
    ]
    with pytest.raises(ValueError, match="Expecting"):
        list(records(["1.0 edge-1 {broken}"]))
    assert [at for at, _ in records(lines[:2])] == [1.5]
    other = record(aim=2000.0, route="slow")
    assert requests_of([(0.0, other)], [CHAT]) == []


def test_the_report_tells_prices_and_what_no_router_has_recorded():
    told = {
        "classes": [{"name": "chat", "n": 3}, {"name": "tag", "n": 2}],
        "prices": [["machines", 3.0, 0.02], ["probes", 0.0, 0.0]],
    }
    assert unrecorded(told, [asked(record())]) == {"chat": 2, "tag": 2}
    assert unrecorded({"classes": [{"name": "chat", "n": 0}]}, [asked(record())]) == {"chat": 0}
    assert prices(told) == {"machines": 0.02}


def test_the_interval_is_that_of_student():
    assert interval([1.0, 2.0, 3.0]) == pytest.approx(4.303 / 3**0.5)
    assert interval([1.0]) != interval([1.0])  # none for a single pair


def report(worth: float, **changes) -> dict:
    kind = {"name": "chat", "n": 10, "not_owed": 0, "in_aim": 8, "late": 1, "refused": 1, "worth": 0.8}
    return {
        "G": worth, "breaks": {}, "parts": [["whole day", 0.5, worth]], "prices": [["machines", 3.0, 0.1]],
        "classes": [kind], "windows": [{"name": "0", "worth": 0.5}], **changes,
    }  # fmt: skip


def test_differences_are_told_by_part():
    pairs = [(report(0.7), report(0.8)), (report(0.6), report(0.7, breaks={"TWICE": 2}))]
    found = {each.name: each for each in differences(pairs)}
    assert found["worth"].difference == pytest.approx(0.1) and found["worth"].interval == pytest.approx(0.0)
    assert found["rules broken"].changed == 1.0
    assert found["kind: chat: in aim"].base == 0.8
    assert found["price: machines"].difference == 0.0
