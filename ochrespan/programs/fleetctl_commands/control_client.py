"""Calls of the control interface for the command line: one controller after the other until one answers."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from geventhttpclient import HTTPClient
from returns.result import Failure, Result, Success

from ochrespan.common.addresses import Address, format_address
from ochrespan.control_plane.responses import OK, UNAVAILABLE

CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 5.0
ROUNDS = 5
FIRST_PAUSE_S = 0.2


@dataclass(frozen=True, slots=True)
class CallError:
    """No answer of use: who was asked last, the status if there was an answer, and what was found."""

    controller: str
    status: int | None
    findings: tuple[str, ...]

    def __str__(self) -> str:
        status = "no answer" if self.status is None else f"status {self.status}"
        return "\n".join((f"{self.controller}: {status}", *(f"  {finding}" for finding in self.findings)))


class ControlClient:
    """Asks the given controllers in turn. A call that got no verdict is sent again unchanged, which is safe."""

    def __init__(self, controllers: Sequence[Address], pause: Callable[[float], None] = time.sleep) -> None:
        self._controllers = controllers
        self._pause = pause

    def get(self, path: str) -> Result[Any, CallError]:
        """The document at `path`."""
        return self._call("GET", path, None, {})

    def put(self, path: str, document: Any, headers: dict[str, str] | None = None) -> Result[Any, CallError]:
        """Sends a whole document."""
        return self._call("PUT", path, document, headers or {})

    def _call(self, method: str, path: str, document: Any, headers: dict[str, str]) -> Result[Any, CallError]:
        body = b"" if document is None else json.dumps(document).encode()
        last = CallError("no controller", None, ())
        for round_number in range(ROUNDS):
            for address in self._controllers:
                result = self._call_one(address, method, path, body, headers)
                if isinstance(result, Success):
                    return result
                last = result.failure()
                if last.status is not None and last.status < 500:
                    return result
            self._pause(FIRST_PAUSE_S * 2**round_number)
        return Failure(last)

    def _call_one(
        self, address: Address, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Result[Any, CallError]:
        client = HTTPClient(*address, connection_timeout=CONNECT_TIMEOUT_S, network_timeout=ANSWER_TIMEOUT_S)
        try:
            response = client.request(method, path, body=body, headers=headers)
            status, document = response.status_code, json.loads(response.read() or b"null")
        except (OSError, ValueError) as error:
            return Failure(CallError(format_address(address), None, (str(error),)))
        finally:
            client.close()
        if status == OK:
            return Success(document)
        return Failure(CallError(format_address(address), status, _findings(document)))


def _findings(document: Any) -> tuple[str, ...]:
    listed = document.get("findings", ()) if isinstance(document, dict) else ()
    return tuple(f"{each['where']}: found {each['found']}, allowed {each['allowed']}" for each in listed)


def is_undecided(error: CallError) -> bool:
    """Whether a change may or may not have been taken."""
    return error.status is None or error.status >= UNAVAILABLE
