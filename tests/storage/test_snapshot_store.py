"""The store with a fault at each call of a run: the call fails, the process ends, or power is lost."""

import errno
import itertools

import ormsgpack
import pytest

from ochrespan.storage import records
from ochrespan.storage.files import PosixDirectory
from ochrespan.storage.snapshot_store import LOG_NAMES, SLOT_NAMES, SnapshotStore
from tests.support.raft_simulation.disk import ProcessEnds, SimDirectory

ROUNDS = 4  # checkpoints of the run, each with records before and after it
MAX_LEFT_DISKS = 3**6


class Journal:
    """Writes the numbers 0, 1, 2... through a store, as the replicas write their updates."""

    def __init__(self, directory) -> None:
        self.store = SnapshotStore(directory)
        self.values: list[int] = []
        self.durable = 0

    def open(self) -> None:
        recovered = self.store.open()
        checkpoint = ormsgpack.unpackb(recovered.checkpoint) if recovered.checkpoint is not None else []
        self.values = replay(checkpoint, [ormsgpack.unpackb(record) for record in recovered.records])
        self.durable = len(self.values)

    def add(self, count: int) -> None:
        new = range(len(self.values), len(self.values) + count)
        self.store.append([ormsgpack.packb(value) for value in new])
        self.values += new

    def flush(self) -> None:
        self.store.flush()
        self.durable = len(self.values)

    def checkpoint(self) -> None:
        self.store.begin_checkpoint()
        checkpoint = ormsgpack.packb(self.values)
        self.store.write_checkpoint(checkpoint)


def replay(checkpoint: list[int], later: list[int]) -> list[int]:
    """Skips records that the checkpoint contains already, as a replica does with entries up to its snapshot."""
    values = list(checkpoint)
    for value in later:
        assert value <= len(values), "a gap"
        if value == len(values):
            values.append(value)
    return values


def run(journal: Journal, retry: bool) -> None:
    """The run whose calls are counted; with `retry`, a failed operation is repeated."""

    def step(operation) -> None:
        for _ in range(3 if retry else 1):
            try:
                operation()
                return
            except OSError:
                if not retry:
                    raise
        raise AssertionError("a second call failed")

    step(journal.open)
    for _ in range(ROUNDS):
        for count in (2, 1, 3):
            journal.add(count)
            step(journal.flush)
        step(journal.checkpoint)
        journal.add(1)
        step(journal.flush)


def calls_of_run() -> int:
    directory = SimDirectory()
    run(Journal(directory), retry=False)
    return directory.calls


def assert_recovers(directory, journal: Journal) -> None:
    """Recovers a prefix of the written values with at least the durable ones, to which more can be added."""
    again = Journal(directory)
    again.open()
    assert again.values == journal.values[: len(again.values)]
    assert len(again.values) >= journal.durable
    again.add(2)
    again.flush()
    third = Journal(directory)
    third.open()
    assert third.values == again.values


CALLS = calls_of_run()


@pytest.mark.parametrize("number", range(1, CALLS + 1))
def test_a_call_that_fails_once_loses_nothing(number):
    directory = SimDirectory()
    directory.fail_call = number
    journal = Journal(directory)
    run(journal, retry=True)
    assert journal.durable == 7 * ROUNDS
    assert_recovers(directory, journal)


@pytest.mark.parametrize("number", range(2, CALLS + 1))
def test_the_process_ends_before_a_call(number):
    directory = SimDirectory()
    directory.end_call = number
    journal = Journal(directory)
    with pytest.raises(ProcessEnds):
        run(journal, retry=False)
    assert_recovers(directory, journal)


@pytest.mark.parametrize("number", range(2, CALLS + 1))
def test_power_is_lost_before_a_call_whatever_becomes_of_each_unsynced_write(number):
    directory = SimDirectory()
    directory.end_call = number
    journal = Journal(directory)
    with pytest.raises(ProcessEnds):
        run(journal, retry=False)
    for left in itertools.islice(directory.after_power_loss(), MAX_LEFT_DISKS):
        assert_recovers(left, journal)


def test_unsynced_records_of_a_killed_process_are_durable_once_they_were_read():
    """A record that was recovered without ever being synced must not be lost at a later loss of power."""
    directory = SimDirectory()
    journal = Journal(directory)
    journal.open()
    journal.add(1)
    directory.syncs_fail = True
    with pytest.raises(OSError):
        journal.flush()
    directory.syncs_fail = False
    again = Journal(directory)
    again.open()
    assert again.values == [0]
    for left in directory.after_power_loss():
        third = Journal(left)
        third.open()
        assert third.values == [0]


def test_a_full_disk_raises_until_there_is_space_and_then_takes_all_pending_records():
    directory = SimDirectory()
    journal = Journal(directory)
    journal.open()
    directory.full = True
    for _ in range(3):
        journal.add(1)
        with pytest.raises(OSError) as caught:
            journal.flush()
        assert caught.value.errno == errno.ENOSPC
    directory.full = False
    journal.flush()
    assert_recovers(directory, journal)


def test_records_of_an_earlier_generation_are_never_mistaken_for_new_ones():
    old, checksum = records.log_header(3)
    for payload in (b"a", b"b", b"c"):
        data, checksum = records.encode_record(payload, checksum)
        old += data
    new, checksum = records.log_header(5)
    data, _ = records.encode_record(b"x", checksum)
    content = records.decode_log(new + data + old[len(new + data) :])
    assert (content.generation, content.records) == (5, [b"x"])


@pytest.mark.parametrize("name", [*SLOT_NAMES, *LOG_NAMES])
def test_a_file_of_another_format_version_raises_what_was_found_and_allowed(name, monkeypatch):
    directory = SimDirectory()
    run(Journal(directory), retry=False)
    data = bytearray(directory.files[name].visible())
    monkeypatch.setattr(records, "FORMAT_VERSION", 2)
    with pytest.raises(records.FormatError, match="version 1, allowed .* version 2"):
        (records.decode_slot if name in SLOT_NAMES else records.decode_log)(bytes(data))


def test_the_size_on_the_disk_stays_within_two_checkpoints_and_two_logs():
    directory = SimDirectory()
    journal = Journal(directory)
    journal.open()
    max_bytes = 0
    for _ in range(200):
        journal.add(20)
        journal.flush()
        if journal.store.log_bytes > 1000:
            journal.checkpoint()
        max_bytes = max(max_bytes, sum(len(file.visible()) for file in directory.files.values()))
    checkpoint_bytes = len(ormsgpack.packb(journal.values))
    assert max_bytes < 2 * (checkpoint_bytes + 100) + 2 * (1000 + 600)


def test_a_posix_directory_keeps_what_was_written(tmp_path):
    directory = PosixDirectory(str(tmp_path))
    journal = Journal(directory)
    run(journal, retry=False)
    directory.close()
    assert_recovers(PosixDirectory(str(tmp_path)), journal)
