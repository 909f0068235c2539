"""Figures in the collectors' text format, and logs that stay bounded."""

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
def test_a_name_that_collectors_cannot_read_is_refused(name):
    with pytest.raises(ValueError, match="found .* allowed letters"):
        MetricsRegistry().counter(name, "Help.")
    with pytest.raises(ValueError, match="found .* allowed letters"):
        MetricsRegistry().counter("fine", "Help.", name)


def test_a_name_stands_for_one_figure():
    registry = MetricsRegistry()
    registry.counter("once", "Help.")
    with pytest.raises(ValueError, match="already"):
        registry.gauge("once", "Help.", lambda: 0.0)


def line(number: int, text: str = "event number=%d") -> logging.LogRecord:
    return logging.LogRecord("ochrespan", logging.INFO, "module.py", number, text, (1,), None)


def test_lines_of_one_kind_are_bounded_and_what_was_left_out_is_told():
    now = 100.0
    limit = RateLimit(lambda: now)
    assert sum(limit.filter(line(1)) for _ in range(BURST + 30)) == BURST
    assert limit.filter(line(2))  # another kind
    now += 1.0 / LINES_PER_S
    told = line(1)
    assert limit.filter(told) and told.getMessage() == "event number=1 left_out=30"
    assert not limit.filter(line(1))


def test_a_clock_that_stands_still_gives_nothing():
    limit = RateLimit(lambda: 0.0)
    assert sum(limit.filter(line(1)) for _ in range(10 * BURST)) == BURST
