"""The scheduler makes the same decisions as when the digests were recorded, in several hundred schedules.

`python -m tests.golden.test_scheduler_decisions` records the digests again. Use it only for an intended change of
decisions, never for a refactoring.
"""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path

import pytest

from ochrespan.data_plane import placement, scheduler, server_state
from tests.golden.scheduler_schedules import SEEDS, Schedule, digest_of

RECORD = Path(__file__).parent / "data" / "scheduler_decisions.json"
READABLE_SEED = 7
GROUP = 50


def record() -> None:
    """Writes the digests of all seeds, and the lines of one."""
    digests = [digest_of(Schedule(seed).play()) for seed in range(SEEDS)]
    RECORD.write_text(json.dumps({"digests": digests, "lines": Schedule(READABLE_SEED).play()}, indent=0) + "\n")


@pytest.mark.parametrize("first", range(0, SEEDS, GROUP))
def test_each_schedule_leads_to_the_recorded_actions(first):
    recorded = json.loads(RECORD.read_text())["digests"]
    seeds = range(first, first + GROUP)
    assert {seed: digest_of(Schedule(seed).play()) for seed in seeds} == {seed: recorded[seed] for seed in seeds}


def test_the_actions_of_one_schedule_line_by_line():
    assert Schedule(READABLE_SEED).play() == json.loads(RECORD.read_text())["lines"]


def test_the_schedules_reach_every_action_and_every_end():
    counts = Counter()
    for seed in range(40):
        for line in Schedule(seed).play():
            fields = line.split()
            if fields[0] == "record":
                continue
            counts[fields[1]] += 1
            counts[f"attempt {fields[4]}" if fields[1] == "Send" else fields[3]] += 1
    for expected in ("Send", "Refuse", "Fail", "attempt 2", "attempt 3", "503", "502", "504"):
        assert counts[expected] > 5, (expected, counts)


@pytest.mark.parametrize(
    ("module", "name"),
    [
        (scheduler, "TOKENS_PER_UNIT"),
        (scheduler, "OVERDUE_FRACTION"),
        (scheduler, "MAX_SERVER_WAIT_RATIO"),
        (scheduler, "DEFAULT_BASE_FRACTION"),
        (scheduler, "MIN_QUEUE_LENGTH"),
        (placement, "CACHE_MISS_FACTOR"),
        (server_state, "SLOW_START_FACTOR"),
    ],
)
def test_a_changed_constant_is_seen(module, name, monkeypatch):
    """Guards the test data: the schedules must cover the decisions that depend on these constants."""
    recorded = json.loads(RECORD.read_text())["digests"]
    monkeypatch.setattr(module, name, getattr(module, name) * 3)
    assert any(digest_of(Schedule(seed).play()) != recorded[seed] for seed in range(SEEDS))


if __name__ == "__main__":
    record()
