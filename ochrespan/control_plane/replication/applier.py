"""Applies committed entries to the state machines, and returns the results to the waiting proposers."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from gevent.event import AsyncResult

from ochrespan.raft.messages import Entry, EntryKind
from ochrespan.raft.replica import Replica

from .errors import OutcomeUnknownError
from .state_machine import StateMachine

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Proposal:
    """A waiting proposer; an entry of another term at the same index is not the proposed one."""

    term: int
    result: AsyncResult


class Applier:
    """The state machines of a process's shards.

    Callbacks run synchronously in the calling greenlet; an exception in one is logged and otherwise ignored.

    Attributes:
        machines: State machine of each shard.
        on_applied: Called with shard, index, command and result after a command was applied.
        on_restored: Called with the shard after a snapshot has replaced a machine's state.
    """

    def __init__(self, machines: Mapping[int, StateMachine]) -> None:
        self.machines = dict(machines)
        self.on_applied: Callable[[int, int, bytes, Any], None] = lambda *_: None
        self.on_restored: Callable[[int], None] = lambda _: None
        self._proposals: dict[tuple[int, int], _Proposal] = {}  # by shard and index

    @contextmanager
    def pending_result(self, shard: int, index: int, term: int) -> Iterator[AsyncResult]:
        """Yields an AsyncResult for the entry proposed at `index` in `term`, registered until the context is left.

        Its `get()` returns the state machine's result, or raises OutcomeUnknownError if another entry or a snapshot
        took the place of the proposed entry.
        """
        proposal = _Proposal(term, AsyncResult())
        self._proposals[shard, index] = proposal
        try:
            yield proposal.result
        finally:
            # A proposal of another term may have been registered for this index in the meantime
            if self._proposals.get((shard, index)) is proposal:
                del self._proposals[shard, index]

    def step(self, shard: int, replica: Replica) -> None:
        """Applies the entries that the replica has committed, and completes its confirmed and its failed reads."""
        if restored := replica.take_restored():
            self.restore(shard, restored.index, restored.data)
        for index, entry in replica.take_committed():
            self._apply(shard, index, entry)
        for result in replica.take_reads():
            result.set(None)
        failed, replica.failed_reads = replica.failed_reads, []
        for result in failed:
            result.set_exception(OutcomeUnknownError("leadership was lost"))

    def restore(self, shard: int, last_index: int, data: bytes) -> None:
        """Replaces a machine's state by a snapshot that covers the log up to `last_index`.

        Pending proposals up to that index fail: the snapshot does not show whether it contains their commands.
        """
        self.machines[shard].restore(data)
        for key in [key for key in self._proposals if key[0] == shard and key[1] <= last_index]:
            self._proposals.pop(key).result.set_exception(OutcomeUnknownError("replaced by a snapshot"))
        run_callback(self.on_restored, shard)

    def _apply(self, shard: int, index: int, entry: Entry) -> None:
        result = None
        if entry.kind == EntryKind.COMMAND and entry.data:  # an empty command is a marker, see `raft.opening`
            result = self._apply_command(shard, index, entry.data)
        proposal = self._proposals.pop((shard, index), None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.result.set(result)
        else:
            proposal.result.set_exception(OutcomeUnknownError("leadership was lost before commitment"))

    def _apply_command(self, shard: int, index: int, command: bytes) -> Any:
        """Returns the machine's result; None if it raised: then it does so at every replica, as it is deterministic."""
        try:
            result = self.machines[shard].apply(index, command)
        except Exception:  # noqa: BLE001 - a command that fails must not stop the entries after it
            log.exception("command failed shard=%d index=%d", shard, index)
            return None
        run_callback(self.on_applied, shard, index, command, result)
        return result


def run_callback(callback: Callable[..., None], *arguments: Any) -> None:
    """Calls a callback; an exception in it is logged and does not stop the entries after this one."""
    try:
        callback(*arguments)
    except Exception:  # noqa: BLE001 - callbacks are the users' code and may raise anything
        log.exception("callback failed")
