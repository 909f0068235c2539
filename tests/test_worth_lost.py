"""Loss analysis and paired rounds: causes, the bound, joined submissions, and confidence intervals."""

import pytest

from benchmarks.paired_rounds import confidence_half_width, differences
from benchmarks.worth_lost import (
    FAULT,
    FIRST_PREFILL,
    QUOTA_WAIT,
    REJECTED_BY_QUOTA,
    REJECTED_BY_ROUTER,
    REPEATED_PREFILL,
    ROUTER_WAIT,
    SERVED_ON_RETRY,
    SERVER_WAIT,
    STREAM_GAP,
    TOO_LARGE,
    Engine,
    LossAnalyzer,
    RequestKind,
    join_submissions,
    prices,
    records,
    unrecorded,
)

CHAT = RequestKind(
    "chat", value=2.0, late_value=0.2, latency_target_ms=500.0, max_event_gap_ms=400.0, mean_size=10_000.0
)
ENGINE = Engine(first_event_overhead_ms=1.0, step_ms=4.0, tokens_per_ms=50.0, attention_ms_per_million_pairs=0.0)
PROMPT = {"tokens_in": 10_000, "tokens_out": 0, "shared": 8_000, "prefix": "p"}


def attempt(**changes) -> dict:
    return {"server": "i1", "kept": True, "sent": 10.0, "first": 60.0, "outcome": "done"} | changes


def record(*attempts: dict, at: float = 0.0, **changes) -> dict:
    return {
        "route": "r", "tenant": "t", "aim": 500.0, "status": 200, "quota_wait": 5.0, "longest_pause": 0.0,
        "ended": 100.0, "at": at, "attempts": list(attempts or [attempt()]), **PROMPT, **changes,
    }  # fmt: skip


def analyze(*submissions: dict, read: bool = True):
    analyzer = LossAnalyzer(ENGINE)
    if read:
        analyzer.analyze(joined_request(record()))
    return analyzer.analyze(joined_request(*submissions))


def joined_request(*submissions: dict):
    (request,) = join_submissions([(each["at"], each) for each in submissions], [CHAT])
    return request


@pytest.mark.parametrize(
    ("submissions", "read", "lost", "cause"),
    [
        ([record()], True, 0.0, ""),
        ([record(attempt(first=600.0))], True, 1.8, SERVER_WAIT),
        ([record(attempt(sent=550.0, first=600.0))], True, 1.8, ROUTER_WAIT),
        ([record(attempt(sent=550.0, first=600.0), quota_wait=540.0)], True, 1.8, QUOTA_WAIT),
        ([record(longest_pause=401.0)], True, 1.8, STREAM_GAP),
        ([record(attempt(first=600.0, kept=False), tokens_in=26_000, shared=24_000)], False, None, FIRST_PREFILL),
        ([record(attempt(first=600.0, kept=False), tokens_in=26_000, shared=24_000)], True, None, REPEATED_PREFILL),
        ([record(attempt(first=900.0), tokens_in=40_000, shared=8_000)], True, None, TOO_LARGE),
        ([record(attempt(first=None, outcome="lost"), attempt(first=600.0))], True, 1.8, FAULT),
        ([record(status=429, attempts=[])], True, 2.0, REJECTED_BY_QUOTA),
        ([record(status=503, attempts=[])], True, 2.0, REJECTED_BY_ROUTER),
        ([record(status=0)], True, 2.0, FAULT),
        ([record(status=429, attempts=[]), record(at=1.0)], True, 0.9, SERVED_ON_RETRY),
    ],
)
def test_lost_value_is_attributed_to_its_cause(submissions, read, lost, cause):
    result, actual_cause, _ = analyze(*submissions, read=read)
    assert actual_cause == cause
    if lost is not None:
        assert result == pytest.approx(lost)


def test_the_bound_earns_what_an_idle_server_prefills_in_time():
    assert analyze(record())[2] == 2.0
    assert analyze(record(tokens_in=40_000, shared=0))[2] == pytest.approx(
        0.1 * CHAT.value_of(record(tokens_in=40_000))
    )
    large = record(tokens_in=26_000, shared=24_000)
    assert analyze(large)[2] == CHAT.value_of(large)
    assert analyze(large, read=False)[2] < CHAT.value_of(large)


def test_records_are_found_among_other_lines_and_routes_are_matched_by_target_and_size():
    lines = [
        "   1.5000 edge-1 INFO something else\n",
        '   2.0000 edge-1 {"ended":500.0,"route":"a","tenant":"t"}\n',
        "  -3.0 edge-2 {not a record\n",
    ]
    with pytest.raises(ValueError, match="Expecting"):
        list(records(["1.0 edge-1 {broken}"]))
    assert [at for at, _ in records(lines[:2])] == [1.5]
    other = record(aim=2000.0, route="slow")
    assert join_submissions([(0.0, other)], [CHAT]) == []


def test_the_report_gives_prices_and_unrecorded_requests():
    report_document = {
        "classes": [{"name": "chat", "n": 3}, {"name": "tag", "n": 2}],
        "prices": [["machines", 3.0, 0.02], ["probes", 0.0, 0.0]],
    }
    assert unrecorded(report_document, [joined_request(record())]) == {"chat": 2, "tag": 2}
    assert unrecorded({"classes": [{"name": "chat", "n": 0}]}, [joined_request(record())]) == {"chat": 0}
    assert prices(report_document) == {"machines": 0.02}


def test_the_confidence_interval_uses_students_distribution():
    assert confidence_half_width([1.0, 2.0, 3.0]) == pytest.approx(4.303 / 3**0.5)
    assert confidence_half_width([1.0]) != confidence_half_width([1.0])  # NaN for a single pair


def report(value: float, **changes) -> dict:
    kind = {"name": "chat", "n": 10, "not_owed": 0, "in_aim": 8, "late": 1, "refused": 1, "worth": 0.8}
    return {
        "G": value, "breaks": {}, "parts": [["whole day", 0.5, value]], "prices": [["machines", 3.0, 0.1]],
        "classes": [kind], "windows": [{"name": "0", "worth": 0.5}], **changes,
    }  # fmt: skip


def test_differences_are_listed_by_metric():
    pairs = [(report(0.7), report(0.8)), (report(0.6), report(0.7, breaks={"TWICE": 2}))]
    result = {each.name: each for each in differences(pairs)}
    assert result["worth"].difference == pytest.approx(0.1) and result["worth"].half_width == pytest.approx(0.0)
    assert result["rules broken"].changed == 1.0
    assert result["kind: chat: in aim"].base == 0.8
    assert result["price: machines"].difference == 0.0
