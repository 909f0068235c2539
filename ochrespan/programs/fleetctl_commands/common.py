"""Helpers for the commands of `fleetctl`: clients of the control interface, and reading documents."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from returns.result import Result, Success

from ochrespan.common.addresses import Address, parse_address
from ochrespan.common.validation import Finding, ValidationError
from ochrespan.control_plane.config.configuration import Configuration, change_to
from ochrespan.control_plane.config.documents import CHECK_CONFIGURATION, read_json
from ochrespan.programs.errors import CommandFailedError, ExitStatus
from ochrespan.programs.settings import read_settings, settings_path

from .control_client import CallFailure, ControlClient, is_outcome_unknown
from .files import read_file


def client_for_fleet(controllers: list[str] | None) -> ControlClient:
    """A client of the controllers at these addresses, or at the seeds of the settings file; raises ValidationError."""
    return ControlClient(_controller_addresses(controllers))


def clients_for_each(controllers: list[str] | None) -> list[ControlClient]:
    """One client for each controller, for calls that every controller must receive; raises ValidationError."""
    return [ControlClient([address]) for address in _controller_addresses(controllers)]


def client_for_process(argument: str, address: str, rounds: int | None = None) -> ControlClient:
    """A client of the one process whose address was given as `argument`; raises ValidationError."""
    return ControlClient(_parse_addresses(argument, [address]), rounds=rounds)


def fleet_status(controllers: list[str] | None) -> dict[str, Any]:
    """The status document of the first controller that responds; raises CommandFailedError."""
    status: dict[str, Any] = unwrap_document(client_for_fleet(controllers).get("/api/status"))
    return status


def current_configuration(client: ControlClient) -> dict[str, Any]:
    """The newest configuration, confirmed by a majority; raises CommandFailedError."""
    configuration: dict[str, Any] = unwrap_document(client.get("/api/config"))
    return configuration


def read_configuration(file: Path) -> dict[str, Any]:
    """The configuration in a file; raises ValidationError with all findings."""
    document: dict[str, Any] = read_json(read_file(file), CHECK_CONFIGURATION)
    Configuration().changed_by(change_to(Configuration(), document))
    return document


def unwrap_document(result: Result[Any, CallFailure]) -> Any:
    """The document of a successful call; raises CommandFailedError, with its exit status, for a failed one."""
    if isinstance(result, Success):
        return result.unwrap()
    failure = result.failure()
    if is_outcome_unknown(failure):
        text = f"{failure}\n  no verdict: the call may or may not have been carried out"
        raise CommandFailedError(text, ExitStatus.OUTCOME_UNKNOWN)
    raise CommandFailedError(str(failure))


def _controller_addresses(controllers: list[str] | None) -> list[Address]:
    return _parse_addresses("--controllers", controllers or read_settings(settings_path())["seeds"])


def _parse_addresses(argument: str, texts: list[str]) -> list[Address]:
    try:
        return [parse_address(text) for text in texts]
    except ValueError as error:
        raise ValidationError([Finding(argument, str(error), "IP:PORT")]) from error
