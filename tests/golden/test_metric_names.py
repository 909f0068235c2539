"""Names, types and labels of the metrics that controllers and routers expose, and the form of their log lines."""

from __future__ import annotations

import logging
import re
from collections.abc import Iterator
from contextlib import contextmanager, redirect_stderr
from io import StringIO

from ochrespan.data_plane.decisions import Fail, Outcome, Refuse, Send
from ochrespan.data_plane.router_metrics import RouterMetrics
from ochrespan.data_plane.router_node import DrainTimes, MachineLimits, RouterNode
from ochrespan.data_plane.scheduler import Scheduler
from ochrespan.observability import logs
from ochrespan.observability.metrics import MetricsRegistry
from tests.fleet_standins import unused_address
from tests.golden.exchanges import Transcript
from tests.support.control_plane_world import World

METRICS = "/api/metrics"
SAMPLE = re.compile(r"(?P<name>\w+)(?P<labels>\{.*\})? (?P<value>\S+)")
LABEL = re.compile(r'(\w+)="([^"]*)"')
LOGGER = "part.of.the.program"
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")


def metrics_in(exposition: str) -> dict[str, dict]:
    """Type and label values by label name of each metric; help texts and values are left out."""
    metrics: dict[str, dict] = {}
    for line in exposition.splitlines():
        if line.startswith("# TYPE "):
            _, _, name, kind = line.split()
            metrics[name] = {"type": kind, "labels": {}}
        elif not line.startswith("#"):
            sample = SAMPLE.fullmatch(line)
            labels = metrics[sample["name"]]["labels"]
            for label, value in LABEL.findall(sample["labels"] or ""):
                labels.setdefault(label, []).append(value)
    return metrics


def fetch_metrics(address: tuple[str, int]) -> dict[str, dict]:
    status, body = Transcript().call(address, "GET", METRICS)
    assert status == 200
    return metrics_in(body.decode())


def test_metrics_of_a_controller_that_leads_every_shard(snapshot):
    world = World(members=1)
    try:
        assert fetch_metrics(("127.0.0.1", world.controllers[0].http.server_port)) == snapshot
    finally:
        world.close()


def test_metrics_of_a_controller_that_leads_nothing(snapshot):
    world = World(members=2)
    try:
        assert fetch_metrics(("127.0.0.1", world.controllers[1].http.server_port)) == snapshot
    finally:
        world.close()


def test_metrics_of_a_router_that_has_decided_nothing(snapshot):
    ready = unused_address()
    scheduler = Scheduler("hall-a", 7, retry_ratio=0.2, retry_slack=10.0, retry_window=10.0)
    node = RouterNode(("127.0.0.1", 0), ready, MachineLimits(), scheduler)
    node.start()
    try:
        assert fetch_metrics(ready) == snapshot
    finally:
        node.drain(DrainTimes.within(0.1))


def test_labels_of_a_router_s_decisions_and_of_the_ends_of_its_attempts(snapshot):
    registry = MetricsRegistry()
    figures = RouterMetrics(registry)
    for action in (Send("r-1", "i-1", 1, 0, 1.0), Refuse("r-1", 503, 0.1), Fail("r-1", 502)):
        figures.record_decision(action)
    for outcome in Outcome:
        figures.record_attempt_end(outcome)
    assert metrics_in(registry.render()) == snapshot


# Log lines


@contextmanager
def lines_written() -> Iterator[list[str]]:
    """A list that gets, at the end, the lines that logs write to standard error as a program sets them up."""
    root, lines = logging.getLogger(), []
    handlers, level = root.handlers[:], root.level
    root.handlers.clear()
    try:
        with redirect_stderr(StringIO()) as persisted:
            logs.configure()
            yield lines
        lines += persisted.getvalue().splitlines()
    finally:
        root.handlers[:] = handlers
        root.setLevel(level)


def test_form_of_log_lines_at_the_level_that_programs_start_with(snapshot):
    log = logging.getLogger(LOGGER)
    with lines_written() as lines:
        log.debug("event number=%d", 1)
        log.info("event number=%d text=%r", 2, "näh")
        log.warning("event number=%d", 3)
        log.error("event number=%d", 4)
    assert lines and lines == snapshot


def test_levels_that_can_be_set(snapshot):
    log = logging.getLogger(LOGGER)
    with lines_written() as lines:
        for level in LEVELS:
            logs.set_level(level)
            for severity in LEVELS:
                log.log(getattr(logging, severity), "while the level is %s", level)
    assert lines and lines == snapshot


def test_form_of_the_count_of_lines_left_out(snapshot):
    now = 0.0
    limit = logs.RateLimit(lambda: now)

    def offer() -> logging.LogRecord | None:
        record = logging.LogRecord(LOGGER, logging.INFO, "file.py", 1, "event number=%d", (1,), None)
        return record if limit.filter(record) else None

    persisted = [record.getMessage() for record in (offer() for _ in range(60)) if record]
    now = 1.0
    later = offer()
    assert [len(persisted), persisted[0], later.getMessage()] == snapshot
