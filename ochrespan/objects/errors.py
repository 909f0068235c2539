"""The object API's errors: S3's codes and form, and what each way in which a request can end becomes."""

from __future__ import annotations

import logging
import secrets
from collections.abc import Mapping
from datetime import timedelta

from ..exchange import Exchange, Reply
from . import layout, xml
from .store import DeadlineExceeded, Denied, StorageFailed, Unavailable
from .uploads import InvalidPartList, NoSuchUpload

log = logging.getLogger(__name__)

XML_TYPE = "application/xml"
REQUEST_ID_BYTES = 8


class ApiError(Exception):
    """An answer in S3's form of errors."""

    def __init__(self, status: int, code: str, message: str, headers: Mapping[str, str] | None = None) -> None:
        super().__init__(message)
        self.status, self.code, self.headers = status, code, dict(headers or {})

    def reply(self, request: Exchange) -> Reply:
        """The final answer to a request; one to HEAD has no body."""
        body = xml.render(
            "Error",
            [
                ("Code", self.code),
                ("Message", str(self)),
                ("Resource", request.target.partition("?")[0]),
                ("RequestId", secrets.token_hex(REQUEST_ID_BYTES)),
            ],
            namespace="",
        )
        headers = {"Content-Type": XML_TYPE} | self.headers
        return Reply(self.status, b"" if request.method == "HEAD" else body, headers)


def no_key() -> ApiError:
    """There is no such object."""
    return ApiError(404, "NoSuchKey", "The specified key does not exist.")


def denied(reason: str) -> ApiError:
    """No contract covers the request."""
    return ApiError(403, "AccessDenied", f"Access Denied ({reason})")


def not_implemented(message: str) -> ApiError:
    """A part of S3's API that is not served."""
    return ApiError(501, "NotImplemented", message)


def invalid_argument(message: str) -> ApiError:
    """A parameter or header that cannot be read."""
    return ApiError(400, "InvalidArgument", message)


def api_error(error: Exception) -> ApiError:
    """Each way in which the core or the store ends a request, as its answer."""
    match error:
        case ApiError():
            return error
        case Unavailable():
            return _slow_down(error)
        case Denied():
            return denied(str(error))
        case DeadlineExceeded():
            return ApiError(504, "RequestTimeout", "The request's own deadline has passed.")
        case NoSuchUpload():
            return ApiError(404, "NoSuchUpload", "The specified upload does not exist.")
        case InvalidPartList():
            return ApiError(400, error.code, str(error))
        case xml.MalformedXml():
            return ApiError(400, "MalformedXML", str(error))
        case StorageFailed() | layout.CorruptChunk():
            return ApiError(500, "InternalError", "What is stored could not be reached whole.")
    log.error("request failed", exc_info=error)
    return ApiError(500, "InternalError", "We encountered an internal error.")


def _slow_down(error: Unavailable) -> ApiError:
    # Retry-After in whole seconds, as S3's clients read it; the module's pauses are shorter
    wait = -(-(error.retry_after or timedelta()) // timedelta(seconds=1)) or 1
    message = "Please reduce your request rate."
    if error.rule:
        message = f"Your contract's budget is spent: {error.rule}."
    return ApiError(503, "SlowDown", message, {"Retry-After": str(wait)})
