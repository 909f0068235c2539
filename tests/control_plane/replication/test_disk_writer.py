"""The writer between replicas and disk: group commit, full and hanging disks, checkpoints that fail."""

import threading

import pytest

from ochrespan.control_plane.replication import disk_writer
from ochrespan.control_plane.replication.disk_writer import DiskWriter
from ochrespan.storage.snapshot_store import SnapshotStore
from tests.support.raft_simulation.disk import SimDirectory
from tests.support.replica_hosts import until


class Harness:
    """A writer over a simulated disk whose syncs can be held up."""

    def __init__(self) -> None:
        self.directory = SimDirectory()
        self.go_on = threading.Event()
        self.go_on.set()
        sync = self.directory.sync
        self.directory.sync = lambda name: (self.go_on.wait(), sync(name))[1]
        store = SnapshotStore(self.directory)
        store.open()
        self.store, self.waiting, self.batches, self.images = store, [], [], 0
        self.writer = DiskWriter(store, 1, self._take, lambda: self.batches.append(self.taken), self._image)
        self.writer.start()

    def add(self, *records: bytes) -> None:
        self.waiting += records
        self.writer.wake()

    def _take(self) -> list[bytes]:
        self.taken, self.waiting = self.waiting, []
        return self.taken

    def _image(self) -> bytes:
        self.images += 1
        return b"image"

    def recovered(self):
        again = SnapshotStore(self.directory)
        return again.open()


@pytest.fixture
def harness(monkeypatch):
    monkeypatch.setattr(disk_writer, "RETRY_S", 0.001)
    harness = Harness()
    yield harness
    harness.go_on.set()
    harness.writer.stop()


def test_what_comes_during_a_write_shares_the_next_one(harness):
    harness.go_on.clear()
    harness.add(b"a")
    until(lambda: harness.writer.pending_for > 0, "first write")
    harness.add(b"b")
    harness.add(b"c")
    harness.go_on.set()
    until(lambda: len(harness.batches) == 2, "both writes")
    assert harness.batches == [[b"a"], [b"b", b"c"]]
    assert harness.recovered().records == [b"a", b"b", b"c"]


def test_a_disk_that_hangs_is_told_by_the_age_of_its_write(harness):
    harness.go_on.clear()
    harness.add(b"a")
    until(lambda: harness.writer.pending_for > 0.02, "age of the write")
    assert harness.batches == []
    harness.go_on.set()
    until(lambda: harness.batches, "write")
    assert harness.writer.pending_for == 0


def test_a_full_disk_is_tried_again_until_it_has_room(harness, caplog):
    harness.directory.full = True
    harness.add(b"a")
    until(lambda: harness.writer.failed, "refusal")
    harness.directory.full = False
    until(lambda: harness.batches, "write")
    assert not harness.writer.failed
    assert harness.recovered().records == [b"a"]
    assert sum("disk full" in record.getMessage() for record in caplog.records) == 1


def test_a_checkpoint_that_fails_is_made_later_and_loses_nothing(harness):
    record = bytes(disk_writer.MIN_LOG_BYTES)
    write_at = harness.directory.write_at
    refuse = {"slot-1"}

    def refusing(name, offset, data):
        if name in refuse:
            raise OSError("no")
        write_at(name, offset, data)

    harness.directory.write_at = refusing
    harness.add(record)
    until(lambda: harness.images and harness.writer.failed, "checkpoint that fails")
    harness.add(b"b")
    until(lambda: len(harness.batches) == 2, "write after it")
    found = harness.recovered()
    assert (found.checkpoint, found.records) == (None, [record, b"b"])
    refuse.clear()
    until(lambda: harness.writer.wake() or not harness.store.checkpoint_in_progress, "checkpoint")
    found = harness.recovered()
    assert (found.checkpoint, found.records) == (b"image", [b"b"])


def test_an_error_that_nobody_expects_does_not_end_the_writer(harness, caplog):
    original, calls = harness.store.flush, []

    def flush():
        calls.append(1)
        if len(calls) == 1:
            raise ValueError("unexpected")
        original()

    harness.store.flush = flush
    harness.add(b"a")
    until(lambda: calls, "failure")
    harness.add(b"b")
    until(lambda: harness.batches, "later write")
    assert harness.recovered().records == [b"a", b"b"]
