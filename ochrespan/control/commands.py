"""Parses HTTP requests at the control address into typed commands; does not execute them."""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import unquote

SERVER_PATH = re.compile(r"/v1/chunk-servers/([^/]+)/(suspend|resume)")


@dataclass(frozen=True, slots=True)
class ReadReadiness:
    """Whether this process can serve."""


@dataclass(frozen=True, slots=True)
class ReadMetrics:
    """The metrics of this process."""


@dataclass(frozen=True, slots=True)
class SuspendServer:
    """Stop using a chunk server until it is resumed."""

    server: str


@dataclass(frozen=True, slots=True)
class ResumeServer:
    """Use a suspended chunk server again."""

    server: str


@dataclass(frozen=True, slots=True)
class DrainFront:
    """Make clients move to other fronts; the process keeps running."""


@dataclass(frozen=True, slots=True)
class ActivateFront:
    """End a drain."""


Command = ReadReadiness | ReadMetrics | SuspendServer | ResumeServer | DrainFront | ActivateFront

FIXED_PATHS: dict[str, tuple[str, Command]] = {
    "/v1/readyz": ("GET", ReadReadiness()),
    "/v1/metrics": ("GET", ReadMetrics()),
    "/v1/front/drain": ("POST", DrainFront()),
    "/v1/front/activate": ("POST", ActivateFront()),
}
SERVER_COMMANDS = {"suspend": SuspendServer, "resume": ResumeServer}


class UnknownPath(ValueError):
    """No command of the control address has this path."""


class WrongMethod(ValueError):
    """The path exists, but only with the method `allowed`."""

    def __init__(self, allowed: str) -> None:
        super().__init__(f"this call takes {allowed} only")
        self.allowed = allowed


def read_command(method: str, target: str) -> Command:
    """Parses method and path of a request. Raises UnknownPath or WrongMethod."""
    path = target.partition("?")[0]
    allowed, command = FIXED_PATHS.get(path) or _server_command(path)
    if method != allowed:
        raise WrongMethod(allowed)
    return command


def _server_command(path: str) -> tuple[str, Command]:
    match = SERVER_PATH.fullmatch(path)
    if match is None:
        raise UnknownPath("there is no such call")
    return "POST", SERVER_COMMANDS[match[2]](unquote(match[1]))
