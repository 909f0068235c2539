"""Errors of the programs, and the exit statuses that they end with."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit statuses of the controller, the router and `fleetctl`."""

    OK = 0
    FAILED = 1  # a command was rejected, or its input has findings
    OUTCOME_UNKNOWN = 3  # a change may or may not have been committed
    BAD_SETTINGS = 78  # EX_CONFIG of sysexits.h: a restart with the same settings would fail again


class ProgramError(Exception):
    """Base of the errors of the programs. Findings in a file are a `ValidationError` instead."""


class CommandFailedError(ProgramError):
    """A command of `fleetctl` failed, or its outcome is unknown.

    Attributes:
        exit_status: the exit status of `fleetctl`.
    """

    def __init__(self, text: str, exit_status: ExitStatus = ExitStatus.FAILED) -> None:
        super().__init__(text)
        self.exit_status = exit_status
