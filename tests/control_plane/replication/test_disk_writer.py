"""The disk writer: group commit, full and hanging disks, failing checkpoints."""

import threading

import pytest

from ochrespan.control_plane.replication import disk_writer
from ochrespan.control_plane.replication.disk_writer import DiskWriter
from ochrespan.storage.snapshot_store import SnapshotStore
from tests.support.raft_simulation.disk import SimDirectory
from tests.support.replica_hosts import until


class Harness:
    """A writer over a simulated disk whose syncs can be delayed."""

    def __init__(self) -> None:
        self.directory = SimDirectory()
        self.sync_allowed = threading.Event()
        self.sync_allowed.set()
        sync = self.directory.sync
        self.directory.sync = lambda name: (self.sync_allowed.wait(), sync(name))[1]
        store = SnapshotStore(self.directory)
        store.open()
        self.store = store
        self.pending: list[bytes] = []
        self.taken: list[bytes] = []
        self.batches: list[list[bytes]] = []
        self.checkpoints = 0
        self.writer = DiskWriter(
            store, 1, self._take_records, lambda: self.batches.append(self.taken), self._make_checkpoint
        )
        self.writer.start()

    def add(self, *records: bytes) -> None:
        self.pending += records
        self.writer.wake()

    def _take_records(self) -> list[bytes]:
        self.taken, self.pending = self.pending, []
        return self.taken

    def _make_checkpoint(self) -> bytes:
        self.checkpoints += 1
        return b"image"

    def recovered(self):
        again = SnapshotStore(self.directory)
        return again.open()


@pytest.fixture
def harness(monkeypatch):
    monkeypatch.setattr(disk_writer, "RETRY_S", 0.001)
    harness = Harness()
    yield harness
    harness.sync_allowed.set()
    harness.writer.stop()


def test_records_that_arrive_during_a_write_are_written_together(harness):
    harness.sync_allowed.clear()
    harness.add(b"a")
    until(lambda: harness.writer.pending_for > 0, "first write")
    harness.add(b"b")
    harness.add(b"c")
    harness.sync_allowed.set()
    until(lambda: len(harness.batches) == 2, "both writes")
    assert harness.batches == [[b"a"], [b"b", b"c"]]
    assert harness.recovered().records == [b"a", b"b", b"c"]


def test_a_hanging_disk_shows_in_the_age_of_its_write(harness):
    harness.sync_allowed.clear()
    harness.add(b"a")
    until(lambda: harness.writer.pending_for > 0.02, "age of the write")
    assert harness.batches == []
    harness.sync_allowed.set()
    until(lambda: harness.batches, "write")
    assert harness.writer.pending_for == 0


def test_a_full_disk_is_retried_until_it_has_space(harness, caplog):
    caplog.set_level("INFO")
    harness.directory.full = True
    harness.add(b"a")
    until(lambda: harness.writer.has_failed, "failed write")
    harness.directory.full = False
    until(lambda: harness.batches, "write")
    assert not harness.writer.has_failed
    assert harness.recovered().records == [b"a"]
    messages = [record.getMessage() for record in caplog.records]
    assert sum("disk full" in message for message in messages) == 1
    assert messages[-1] == "disk recovered"


def test_a_failed_checkpoint_is_retried_and_loses_no_record(harness):
    record = bytes(disk_writer.MIN_LOG_BYTES)
    write_at = harness.directory.write_at
    failing = {"slot-1"}

    def write_at_or_fail(name, offset, data):
        if name in failing:
            raise OSError("no")
        write_at(name, offset, data)

    harness.directory.write_at = write_at_or_fail
    harness.add(record)
    until(lambda: harness.checkpoints and harness.writer.has_failed, "checkpoint that fails")
    harness.add(b"b")
    until(lambda: len(harness.batches) == 2, "write after it")
    found = harness.recovered()
    assert (found.checkpoint, found.records) == (None, [record, b"b"])
    failing.clear()
    until(lambda: harness.writer.wake() or not harness.store.checkpoint_in_progress, "checkpoint")
    found = harness.recovered()
    assert (found.checkpoint, found.records) == (b"image", [b"b"])


def test_an_unexpected_error_does_not_stop_the_writer(harness):
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
