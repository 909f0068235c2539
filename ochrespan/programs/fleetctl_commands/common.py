"""What the operator's commands share: the controllers to ask, answers, and failures with their exit status."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from returns.result import Result, Success

from ochrespan.common.addresses import Address, parse_address
from ochrespan.common.validation import Finding, ValidationError
from ochrespan.control_plane.config.configuration import Configuration, change_to
from ochrespan.control_plane.config.documents import CHECK_CONFIGURATION, read_json
from ochrespan.programs.settings import read_settings, settings_path

from .control_client import CallError, ControlClient, is_undecided

EXIT_FAILED = 1
EXIT_UNDECIDED = 3


class CommandFailedError(Exception):
    """A command has no result; `code` is the exit status."""

    def __init__(self, text: str, code: int = EXIT_FAILED) -> None:
        super().__init__(text)
        self.code = code


def client_for(controllers: list[str] | None) -> ControlClient:
    """Asks these addresses, or without them the seeds of the settings file."""
    return ControlClient(_addresses("--controllers", controllers or read_settings(settings_path())["seeds"]))


def client_of(name: str, address: str) -> ControlClient:
    """Asks one process, whose address was given as the argument `name`."""
    return ControlClient(_addresses(name, [address]))


def fleet_status(controllers: list[str] | None) -> dict[str, Any]:
    """The view of the controller that answers."""
    return value_of(client_for(controllers).get("/api/status"))


def current_configuration(client: ControlClient) -> dict[str, Any]:
    """The newest configuration, as confirmed with a majority."""
    return value_of(client.get("/api/config"))


def read_configuration(file: Path) -> dict[str, Any]:
    """The configuration in a file; raises ValidationError with all findings."""
    try:
        document = read_json(file.read_bytes(), CHECK_CONFIGURATION)
    except OSError as error:
        raise ValidationError([Finding(str(file), str(error.strerror), "a readable file")]) from error
    Configuration().changed_by(change_to(Configuration(), document))
    return document


def value_of(result: Result[Any, CallError]) -> Any:
    """The document of an answer; raises CommandFailedError."""
    if isinstance(result, Success):
        return result.unwrap()
    error = result.failure()
    undecided = is_undecided(error)
    text = f"{error}\n  no verdict: the call may or may not have been carried out" if undecided else str(error)
    raise CommandFailedError(text, EXIT_UNDECIDED if undecided else EXIT_FAILED)


def _addresses(argument: str, texts: list[str]) -> list[Address]:
    try:
        return [parse_address(text) for text in texts]
    except ValueError as error:
        raise ValidationError([Finding(argument, str(error), "IP:PORT")]) from error
