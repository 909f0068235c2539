"""Each change of leadership is reported once, to the callback and to the log."""

from types import SimpleNamespace

from ochrespan.control_plane.replication.leadership_reporter import LeadershipReporter


def replica(is_leader: bool, failures_tolerated: int | None = None) -> SimpleNamespace:
    core = SimpleNamespace(term=7, configuration=SimpleNamespace(voters=("a", "b", "c")))
    return SimpleNamespace(is_leader=is_leader, failures_tolerated=failures_tolerated, state=core)


def test_each_change_of_leadership_is_reported_once(caplog):
    caplog.set_level("INFO")
    reporter = LeadershipReporter()
    changes = []
    reporter.on_leadership_changed = lambda shard, leads: changes.append((shard, leads))
    for leads in (False, True, True, False, False):
        reporter.report_leadership(2, replica(leads))
    assert changes == [(2, True), (2, False)]
    assert caplog.messages == [
        "leadership changed shard=2 leads=True term=7",
        "leadership changed shard=2 leads=False term=7",
    ]


def test_a_callback_that_raises_does_not_repeat_the_report(caplog):
    reporter = LeadershipReporter()
    reporter.on_leadership_changed = lambda shard, leads: 1 // 0
    reporter.report_leadership(2, replica(True))
    reporter.report_leadership(2, replica(True))
    assert caplog.messages == ["callback failed"]


def test_the_failures_tolerated_are_logged_on_change_where_the_shard_is_led(caplog):
    caplog.set_level("INFO")
    reporter = LeadershipReporter()
    for tolerated in (None, 1, 1, 0, None, 0):
        reporter.report_failures_tolerated(3, replica(True, tolerated))
    assert caplog.messages == [
        f"failures tolerated changed shard=3 failures_tolerated={tolerated} voters=3" for tolerated in (1, 0, 0)
    ]
