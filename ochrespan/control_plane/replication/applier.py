"""Brings committed entries to the state machines, and their results to the proposers that wait for them."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from contextlib import contextmanager
from typing import Any

from gevent.event import AsyncResult

from ochrespan.raft.messages import Entry, EntryKind
from ochrespan.raft.replica import Replica

from .errors import OutcomeUnknownError
from .state_machine import StateMachine

log = logging.getLogger(__name__)


class Applier:
    """The machines of a process's shards. Callbacks run in place; what they raise is logged and ends nothing."""

    def __init__(self, machines: Mapping[int, StateMachine]) -> None:
        self.machines = dict(machines)
        self.on_applied: Callable[[int, int, bytes, Any], None] = lambda shard, index, command, result: None
        self.on_restored: Callable[[int], None] = lambda shard: None
        self._waiting: dict[tuple[int, int], tuple[int, AsyncResult]] = {}

    @contextmanager
    def waiting(self, shard: int, index: int, term: int):
        """The result of the entry that was proposed at an index in a term."""
        result = AsyncResult()
        self._waiting[shard, index] = (term, result)
        try:
            yield result
        finally:
            if self._waiting.get((shard, index), (0, None))[1] is result:
                del self._waiting[shard, index]

    def step(self, shard: int, replica: Replica) -> None:
        """Applies what the replica has committed, and answers its confirmed reads."""
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
        self.machines[shard].restore(data)
        for key in [key for key in self._waiting if key[0] == shard and key[1] <= last_index]:
            self._waiting.pop(key)[1].set_exception(OutcomeUnknownError("replaced by a snapshot"))
        run_callback(self.on_restored, shard)

    def _apply(self, shard: int, index: int, entry: Entry) -> None:
        result = None
        if entry.kind == EntryKind.COMMAND:
            result = self._apply_command(shard, index, entry.data)
        term, waiting = self._waiting.pop((shard, index), (0, None))
        if waiting is None:
            return
        if term == entry.term:
            waiting.set(result)
        else:
            waiting.set_exception(OutcomeUnknownError("leadership was lost before commitment"))

    def _apply_command(self, shard: int, index: int, command: bytes) -> Any:
        """A machine that raises does so at every replica: its command has no effect and no result."""
        try:
            result = self.machines[shard].apply(index, command)
        except Exception:
            log.exception("command failed shard=%d index=%d", shard, index)
            return None
        run_callback(self.on_applied, shard, index, command, result)
        return result


def run_callback(callback: Callable[..., None], *arguments: Any) -> None:
    """What a callback raises must not cost the entries behind it."""
    try:
        callback(*arguments)
    except Exception:
        log.exception("callback failed")
