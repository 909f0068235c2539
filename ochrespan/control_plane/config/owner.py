"""The leader's side of the configuration shard: evaluates commands and serves confirmed reads."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ochrespan.common.validation import Finding
from ochrespan.control_plane.replication.errors import OutcomeUnknownError
from ochrespan.control_plane.replication.groups import CALL_TIMEOUT_S, ReplicaGroups
from ochrespan.control_plane.responses import (
    BAD_REQUEST,
    OK,
    PRECONDITION_FAILED,
    Response,
    findings_response,
    json_response,
    unavailable_response,
)
from ochrespan.control_plane.shards import CONFIG_SHARD
from ochrespan.transport.codec import encode, message

from .commands import ConfigCommand
from .state_machine import CommandOutcome, CommandResult, ConfigurationStateMachine

log = logging.getLogger(__name__)

COMMAND_TIMEOUT_PER_BYTE_S = 1.0 / 1_000_000


@message("cp.read")
@dataclass(slots=True)
class ReadConfiguration:
    """Asks for the newest configuration."""


@message("cp.history")
@dataclass(slots=True)
class ReadHistory:
    """Asks for the latest changes of the configuration."""


def command_timeout_s(order: ConfigCommand) -> float:
    """How long an order may take; large ones get longer, as their callers wait longer."""
    return CALL_TIMEOUT_S + len(order.body) * COMMAND_TIMEOUT_PER_BYTE_S


class ConfigurationOwner:
    """Answers orders and reads where this process leads the configuration's shard; raises NotLeaderError elsewhere."""

    def __init__(self, groups: ReplicaGroups, machine: ConfigurationStateMachine) -> None:
        self._groups = groups
        self._machine = machine

    def order(self, order: ConfigCommand) -> Response:
        """The verdict on an order, given after its commitment."""
        try:
            verdict = self._groups.propose(CONFIG_SHARD, encode(order), command_timeout_s(order))
        except OutcomeUnknownError as error:
            return unavailable_response("order", str(error) or "no commitment in time")
        log.info(
            "order judged verdict=%s version=%d builds_on=%d", verdict.judgement.name, verdict.version, order.builds_on
        )
        return _response_for(verdict)

    def read(self, request: ReadConfiguration) -> Response:
        """The newest configuration, as confirmed with a majority."""
        return self._confirmed(lambda: self._machine.current.document())

    def history(self, request: ReadHistory) -> Response:
        """The latest changes, oldest first, as confirmed with a majority."""
        return self._confirmed(lambda: {"changes": self._machine.history.fields()})

    def _confirmed(self, document: Callable[[], dict[str, Any]]) -> Response:
        try:
            self._groups.read_barrier(CONFIG_SHARD, CALL_TIMEOUT_S)
        except OutcomeUnknownError as error:
            return unavailable_response("configuration", str(error) or "no majority in time")
        return json_response(OK, document())


def _response_for(verdict: CommandResult) -> Response:
    if verdict.judgement in (CommandOutcome.TAKEN, CommandOutcome.TAKEN_BEFORE):
        return json_response(OK, {"generation": verdict.version})
    if verdict.judgement is CommandOutcome.FORGOTTEN:
        return unavailable_response("order", verdict.judgement.value)
    if verdict.judgement is CommandOutcome.OTHER_VERSION:
        return findings_response(PRECONDITION_FAILED, [Finding("If-Match", "another version", str(verdict.version))])
    return findings_response(BAD_REQUEST, verdict.findings)
