"""The history of a shard's changes at a controller."""

from ochrespan.control_plane.feed import shard_history
from ochrespan.control_plane.feed.shard_history import ShardHistory


def test_a_history_returns_the_changes_since_every_offset_that_it_covers(monkeypatch):
    monkeypatch.setattr(shard_history, "MAX_HISTORY_CHANGES", 3)
    history = ShardHistory()
    for offset in (2, 5, 6, 9):
        history.add(offset, b"%d" % offset)
    assert history.since(1) is None
    assert history.since(2) == history.since(4) == [b"5", b"6", b"9"]
    assert history.since(6) == [b"9"] and history.since(9) == history.since(20) == []
    history.restart(30)
    assert history.since(29) is None and history.since(30) == []


def test_a_history_is_bounded_by_its_bytes(monkeypatch):
    monkeypatch.setattr(shard_history, "MAX_HISTORY_BYTES", 10)
    history = ShardHistory()
    for offset in range(1, 9):
        history.add(offset, b"1234")
    assert history.since(6) == [b"1234", b"1234"] and history.since(5) is None
