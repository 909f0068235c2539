"""Applies committed entries to the state machines, and passes the results to the proposers that wait for them."""

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
    """A proposer that waits; an entry of another term at the same index is not its own."""

    term: int
    result: AsyncResult


class Applier:
    """The state machines of a process's shards. Callbacks run in place; a failure of one is logged.

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
        """The result of the entry that was proposed at `index` in `term`, as long as the context is open."""
        proposal = _Proposal(term, AsyncResult())
        self._proposals[shard, index] = proposal
        try:
            yield proposal.result
        finally:
            # Another term's proposal may have taken this index over meanwhile
            if self._proposals.get((shard, index)) is proposal:
                del self._proposals[shard, index]

    def step(self, shard: int, replica: Replica) -> None:
        """Applies what the replica has committed, and completes its confirmed reads."""
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

        Proposals up to there fail: the snapshot does not say whether it contains their commands.
        """
        self.machines[shard].restore(data)
        for key in [key for key in self._proposals if key[0] == shard and key[1] <= last_index]:
            self._proposals.pop(key).result.set_exception(OutcomeUnknownError("replaced by a snapshot"))
        run_callback(self.on_restored, shard)

    def _apply(self, shard: int, index: int, entry: Entry) -> None:
        result = None
        if entry.kind == EntryKind.COMMAND and entry.data:  # one without content is a marker, see `raft.opening`
            result = self._apply_command(shard, index, entry.data)
        proposal = self._proposals.pop((shard, index), None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.result.set(result)
        else:
            proposal.result.set_exception(OutcomeUnknownError("leadership was lost before commitment"))

    def _apply_command(self, shard: int, index: int, command: bytes) -> Any:
        """A machine that raises does so at every replica: its command has no effect and no result."""
        try:
            result = self.machines[shard].apply(index, command)
        except Exception:  # noqa: BLE001 - a command that fails must not stop the entries behind it
            log.exception("command failed shard=%d index=%d", shard, index)
            return None
        run_callback(self.on_applied, shard, index, command, result)
        return result


def run_callback(callback: Callable[..., None], *arguments: Any) -> None:
    """Calls a callback; its failure is logged and does not stop the entries behind it."""
    try:
        callback(*arguments)
    except Exception:  # noqa: BLE001 - callbacks are the users' code and may raise anything
        log.exception("callback failed")
