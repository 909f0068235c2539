"""Metrics in the text exposition format, and logs of limited rate."""

import logging

import pytest

from ochrespan.observability.logs import BURST, LINES_PER_S, RateLimit
from ochrespan.observability.metrics import MetricsRegistry


def test_figures_are_rendered_in_the_exposition_format(snapshot):
    registry = MetricsRegistry()
    registry.counter("starts_total", "Starts.").add()
    ends = registry.counter("ends_total", "Ends by how.", "outcome", "zone")
    ends.add("lost", 'a "quoted"\nzone\\')
    ends.add("done", "b", amount=2.5)
    registry.gauge("age_seconds", "How old.", lambda: float("inf"))
    registry.gauges("leads", "Who leads.", ("shard",), lambda: {("1",): True, ("0",): False})
    assert registry.render() == snapshot


@pytest.mark.parametrize("name", ["", "1st", "with space", "dash-ed", "é"])
def test_an_invalid_name_is_rejected(name):
    with pytest.raises(ValueError, match="found .* allowed letters"):
        MetricsRegistry().counter(name, "Help.")
    with pytest.raises(ValueError, match="found .* allowed letters"):
        MetricsRegistry().counter("fine", "Help.", name)


def test_a_name_is_registered_once():
    registry = MetricsRegistry()
    registry.counter("once", "Help.")
    with pytest.raises(ValueError, match="already"):
        registry.gauge("once", "Help.", lambda: 0.0)


def line(number: int, text: str = "event number=%d") -> logging.LogRecord:
    return logging.LogRecord("ochrespan", logging.INFO, "module.py", number, text, (1,), None)


def test_lines_of_one_call_site_are_limited_and_the_dropped_ones_counted():
    now = 100.0
    limit = RateLimit(lambda: now)
    assert sum(limit.filter(line(1)) for _ in range(BURST + 30)) == BURST
    assert limit.filter(line(2))  # another call site
    now += 1.0 / LINES_PER_S
    passed = line(1)
    assert limit.filter(passed)
    assert passed.getMessage() == "event number=1 left_out=30"
    assert not limit.filter(line(1))


def test_a_clock_that_stands_still_adds_no_tokens():
    limit = RateLimit(lambda: 0.0)
    assert sum(limit.filter(line(1)) for _ in range(10 * BURST)) == BURST
