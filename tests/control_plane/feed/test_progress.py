"""What a router tells of its feed: version, offsets and followed controller, with their ages."""

from ochrespan.control_plane.feed.progress import ProgressRecorder

A, B = ("10.0.0.1", 7500), ("10.0.0.2", 7500)


def test_before_the_first_table_nothing_has_an_age_but_the_missing_controller():
    progress = ProgressRecorder("edge-1", 10.0).progress(12.0)
    assert progress.document() == {
        "node": "edge-1",
        "version": 0,
        "version_age_s": None,
        "shards": [],
        "controller": None,
        "controller_age_s": 2.0,
        "current_age_s": None,
    }


def test_ages_count_from_the_last_change_and_from_the_last_confirmation():
    recorder = ProgressRecorder("edge-1", 0.0)
    recorder.record_offsets({0: 3, 1: 8}, 1.0)
    recorder.record_version(5, 1.0)
    assert recorder.record_current(A, 1.0)
    recorder.record_offsets({0: 4, 1: 8}, 2.0)
    recorder.record_version(5, 2.0)
    assert not recorder.record_current(A, 2.0)
    progress = recorder.progress(3.0)
    assert [(each.offset, each.age_s) for each in progress.shards] == [(4, 1.0), (8, 2.0)]
    assert (progress.version_age_s, progress.controller_age_s, progress.current_age_s) == (2.0, 2.0, 1.0)


def test_a_router_without_a_feed_tells_since_when():
    recorder = ProgressRecorder("edge-1", 0.0)
    recorder.record_current(A, 1.0)
    recorder.record_not_current(2.0)
    recorder.record_not_current(3.0)
    progress = recorder.progress(6.0)
    assert (progress.controller, progress.controller_age_s, progress.current_age_s) == (None, 4.0, 5.0)
    assert recorder.seconds_without_feed(6.0) == 5.0
    assert recorder.record_current(B, 6.0)
