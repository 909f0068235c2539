"""The leader's side of the configuration shard: evaluates commands and serves confirmed reads."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ochrespan.common.validation import Finding
from ochrespan.control_plane.replication.errors import NoVerdict
from ochrespan.control_plane.replication.groups import CALL_TIMEOUT_S, ReplicaGroups
from ochrespan.control_plane.responses import (
    BAD_REQUEST,
    OK,
    PRECONDITION_FAILED,
    Answer,
    json_answer,
    refusal,
    unavailable,
)
from ochrespan.control_plane.shards import CONFIG_SHARD
from ochrespan.transport.codec import encode, message

from .commands import Order
from .state_machine import ConfigurationMachine, Judgement, Verdict

log = logging.getLogger(__name__)

ORDER_TIMEOUT_PER_BYTE_S = 1.0 / 1_000_000


@message("cp.read")
@dataclass(slots=True)
class ReadConfiguration:
    """Asks for the newest configuration."""


@message("cp.history")
@dataclass(slots=True)
class ReadHistory:
    """Asks for the latest changes of the configuration."""


def order_timeout(order: Order) -> float:
    """How long an order may take; large ones get longer, as their callers wait longer."""
    return CALL_TIMEOUT_S + len(order.body) * ORDER_TIMEOUT_PER_BYTE_S


class ConfigurationOwner:
    """Answers orders and reads where this process leads the configuration's shard; raises NotLeader elsewhere."""

    def __init__(self, groups: ReplicaGroups, machine: ConfigurationMachine) -> None:
        self._groups = groups
        self._machine = machine

    def order(self, order: Order) -> Answer:
        """The verdict on an order, given after its commitment."""
        try:
            verdict = self._groups.propose(CONFIG_SHARD, encode(order), order_timeout(order))
        except NoVerdict as error:
            return unavailable("order", str(error) or "no commitment in time")
        log.info(
            "order judged verdict=%s version=%d builds_on=%d", verdict.judgement.name, verdict.version, order.builds_on
        )
        return _answer_of(verdict)

    def read(self, request: ReadConfiguration) -> Answer:
        """The newest configuration, as confirmed with a majority."""
        return self._confirmed(lambda: self._machine.current.document())

    def history(self, request: ReadHistory) -> Answer:
        """The latest changes, oldest first, as confirmed with a majority."""
        return self._confirmed(lambda: {"changes": self._machine.history.fields()})

    def _confirmed(self, document: Callable[[], dict[str, Any]]) -> Answer:
        try:
            self._groups.read_barrier(CONFIG_SHARD, CALL_TIMEOUT_S)
        except NoVerdict as error:
            return unavailable("configuration", str(error) or "no majority in time")
        return json_answer(OK, document())


def _answer_of(verdict: Verdict) -> Answer:
    if verdict.judgement in (Judgement.TAKEN, Judgement.TAKEN_BEFORE):
        return json_answer(OK, {"generation": verdict.version})
    if verdict.judgement is Judgement.FORGOTTEN:
        return unavailable("order", verdict.judgement.value)
    if verdict.judgement is Judgement.OTHER_VERSION:
        return refusal(PRECONDITION_FAILED, [Finding("If-Match", "another version", str(verdict.version))])
    return refusal(BAD_REQUEST, verdict.findings)
