"""The command line's client of the control interface; it tries one controller after the other."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from geventhttpclient import HTTPClient
from returns.result import Failure, Result, Success

from ochrespan.common.addresses import Address, format_address
from ochrespan.control_plane.responses import OK, UNAVAILABLE

CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 5.0
MAX_ROUNDS = 5  # each round tries every controller once
FIRST_BACKOFF_S = 0.2  # after the first round; doubles after each further round


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call that returned no document.

    Attributes:
        controller: address of the last controller that was tried.
        status: HTTP status of its response; None if there was no response.
        findings: causes that the response, or the error of the connection, names.
    """

    controller: str
    status: int | None
    findings: tuple[str, ...]

    def __str__(self) -> str:
        status = "no answer" if self.status is None else f"status {self.status}"
        return "\n".join((f"{self.controller}: {status}", *(f"  {finding}" for finding in self.findings)))


class ControlClient:
    """Calls the given controllers in turn, in rounds with an exponential backoff between them.

    A call without a response, or with a 5xx status, is sent again unchanged. That is safe, as the controllers recognise
    a command that they have committed already.

    Args:
        controllers: their control addresses.
        sleep: waits between two rounds; called with a number of seconds.
        rounds: the maximum number of rounds; None for MAX_ROUNDS.
    """

    def __init__(
        self,
        controllers: Sequence[Address],
        sleep: Callable[[float], None] = time.sleep,
        rounds: int | None = None,
    ) -> None:
        self._controllers = controllers
        self._sleep = sleep
        self._rounds = MAX_ROUNDS if rounds is None else rounds

    def get(self, path: str) -> Result[Any, CallFailure]:
        """The document at `path`."""
        return self._call("GET", path, None, {})

    def put(self, path: str, document: Any, headers: dict[str, str] | None = None) -> Result[Any, CallFailure]:
        """Replaces the document at `path`; the result holds the document of the response."""
        return self._call("PUT", path, document, headers or {})

    def _call(self, method: str, path: str, document: Any, headers: dict[str, str]) -> Result[Any, CallFailure]:
        body = b"" if document is None else json.dumps(document).encode()
        failure = CallFailure("no controller", None, ())
        for round_number in range(self._rounds):
            for address in self._controllers:
                result = self._call_one(address, method, path, body, headers)
                if isinstance(result, Success):
                    return result
                failure = result.failure()
                if failure.status is not None and failure.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                    return result
            self._sleep(FIRST_BACKOFF_S * 2**round_number)
        return Failure(failure)

    def _call_one(
        self, address: Address, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> Result[Any, CallFailure]:
        client = HTTPClient(*address, connection_timeout=CONNECT_TIMEOUT_S, network_timeout=RESPONSE_TIMEOUT_S)
        try:
            response = client.request(method, path, body=body, headers=headers)
            status = response.status_code
            document = json.loads(response.read() or b"null")
        except (OSError, ValueError) as error:
            return Failure(CallFailure(format_address(address), None, (str(error),)))
        finally:
            client.close()
        if status == OK:
            return Success(document)
        return Failure(CallFailure(format_address(address), status, _findings(document)))


def _findings(document: Any) -> tuple[str, ...]:
    listed = document.get("findings", ()) if isinstance(document, dict) else ()
    texts = [f"{each['where']}: found {each['found']}, allowed {each['allowed']}" for each in listed]
    if isinstance(document, dict) and (total := document.get("findings_total")):
        texts.append(f"{total} findings in all")
    return tuple(texts)


def is_outcome_unknown(failure: CallFailure) -> bool:
    """Whether a change may or may not have been committed."""
    return failure.status is None or failure.status >= UNAVAILABLE
