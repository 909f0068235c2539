"""The owner of the configuration: the leader of its shard, which commits commands and serves linearizable reads.

Reads go through a read barrier (ReadIndex, section 6.4 of the Raft dissertation), so a deposed leader serves no stale
data.
"""

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

from .commands import ConfigCommand, RestoreCommand
from .state_machine import CommandOutcome, CommandResult, ConfigurationStateMachine

log = logging.getLogger(__name__)

COMMAND_TIMEOUT_PER_BYTE_S = 1.0 / 1_000_000
COMMAND_FINDING = "order"  # the `where` of findings about a command; part of the JSON interface


@message("cp.read")
@dataclass(slots=True)
class ReadConfiguration:
    """A request for the newest configuration."""


@message("cp.history")
@dataclass(slots=True)
class ReadHistory:
    """A request for the latest changes of the configuration."""


@message("cp.backup")
@dataclass(slots=True)
class ReadBackup:
    """A request for the newest configuration and the digests of the accepted commands."""


def command_timeout_s(command: ConfigCommand | RestoreCommand) -> float:
    """Returns the time-out of a command in seconds; large commands get more time, as their callers wait longer."""
    return CALL_TIMEOUT_S + len(command.body) * COMMAND_TIMEOUT_PER_BYTE_S


class ConfigurationOwner:
    """Handles commands and reads in the process that leads the configuration shard.

    Each method raises NotLeaderError if this process does not lead the shard: the caller then forwards the request.
    """

    def __init__(self, groups: ReplicaGroups, machine: ConfigurationStateMachine) -> None:
        self._groups = groups
        self._machine = machine

    def submit(self, command: ConfigCommand | RestoreCommand) -> Response:
        """Proposes a command and responds with its result once it is committed and applied.

        After a time-out or loss of leadership the outcome is unknown and the response is a 503; the caller may retry
        the same command.
        """
        try:
            result = self._groups.propose(CONFIG_SHARD, encode(command), command_timeout_s(command))
        except OutcomeUnknownError as error:
            return unavailable_response(COMMAND_FINDING, str(error) or "no commitment in time")
        log.info(
            "command evaluated outcome=%s version=%d builds_on=%d",
            result.outcome.name,
            result.version,
            command.builds_on if isinstance(command, ConfigCommand) else 0,
        )
        return _response_to(result)

    def read(self, request: ReadConfiguration) -> Response:  # noqa: ARG002 - every request handler takes its request
        """Responds with the newest configuration, confirmed by a majority."""
        return self._confirmed(lambda: self._machine.current.document())

    def history(self, request: ReadHistory) -> Response:  # noqa: ARG002 - every request handler takes its request
        """Responds with the latest changes, oldest first, confirmed by a majority."""
        return self._confirmed(lambda: {"changes": self._machine.history.fields()})

    def backup(self, request: ReadBackup) -> Response:  # noqa: ARG002 - every request handler takes its request
        """Responds with the newest configuration and the accepted commands, confirmed by a majority."""
        return self._confirmed(self._machine.backup)

    def _confirmed(self, read_document: Callable[[], dict[str, Any]]) -> Response:
        try:
            self._groups.read_barrier(CONFIG_SHARD, CALL_TIMEOUT_S)
        except OutcomeUnknownError as error:
            return unavailable_response("configuration", str(error) or "no majority in time")
        return json_response(OK, read_document())


def _response_to(result: CommandResult) -> Response:
    if result.outcome in (CommandOutcome.ACCEPTED, CommandOutcome.ALREADY_ACCEPTED):
        return json_response(OK, {"generation": result.version})
    if result.outcome in (CommandOutcome.TOO_OLD, CommandOutcome.VERSION_NOT_REACHED):
        return unavailable_response(COMMAND_FINDING, result.outcome.value)
    if result.outcome is CommandOutcome.VERSION_CONFLICT:
        return findings_response(PRECONDITION_FAILED, [Finding("If-Match", "another version", str(result.version))])
    return findings_response(BAD_REQUEST, result.findings, result.findings_total)
