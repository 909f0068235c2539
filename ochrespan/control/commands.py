"""The calls of the control address as typed commands; nothing is done here."""

from __future__ import annotations

import re
from dataclasses import dataclass
from urllib.parse import unquote

SERVER_CALL = re.compile(r"/v1/chunk-servers/([^/]+)/(suspend|resume)")


@dataclass(frozen=True, slots=True)
class ReadReadiness:
    """Whether this process can serve."""


@dataclass(frozen=True, slots=True)
class ReadMetrics:
    """The figures of this process."""


@dataclass(frozen=True, slots=True)
class SuspendServer:
    """Leave a chunk server out until it is resumed."""

    server: str


@dataclass(frozen=True, slots=True)
class ResumeServer:
    """Use a suspended chunk server again."""

    server: str


@dataclass(frozen=True, slots=True)
class DrainFront:
    """Send the clients away; the process goes on."""


@dataclass(frozen=True, slots=True)
class ActivateFront:
    """End of a drain."""


Command = ReadReadiness | ReadMetrics | SuspendServer | ResumeServer | DrainFront | ActivateFront

FIXED: dict[str, tuple[str, Command]] = {
    "/v1/readyz": ("GET", ReadReadiness()),
    "/v1/metrics": ("GET", ReadMetrics()),
    "/v1/front/drain": ("POST", DrainFront()),
    "/v1/front/activate": ("POST", ActivateFront()),
}
SERVER_COMMANDS = {"suspend": SuspendServer, "resume": ResumeServer}


class UnknownPath(ValueError):
    """No call has this path."""


class WrongMethod(ValueError):
    """The call exists under another method only."""

    def __init__(self, allowed: str) -> None:
        super().__init__(f"this call takes {allowed} only")
        self.allowed = allowed


def read_command(method: str, target: str) -> Command:
    """The command of a call. Raises UnknownPath or WrongMethod."""
    path = target.partition("?")[0]
    allowed, command = FIXED.get(path) or _server_command(path)
    if method != allowed:
        raise WrongMethod(allowed)
    return command


def _server_command(path: str) -> tuple[str, Command]:
    found = SERVER_CALL.fullmatch(path)
    if found is None:
        raise UnknownPath("there is no such call")
    return "POST", SERVER_COMMANDS[found[2]](unquote(found[1]))
