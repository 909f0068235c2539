"""Error responses of the object API in S3's format, and the mapping from exceptions to S3 error codes."""

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
    """An error response with an S3 error code."""

    def __init__(self, status: int, code: str, message: str, headers: Mapping[str, str] | None = None) -> None:
        super().__init__(message)
        self.status, self.code, self.headers = status, code, dict(headers or {})

    def reply(self, request: Exchange) -> Reply:
        """The response with the error document; without a body for HEAD."""
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
    """The object does not exist."""
    return ApiError(404, "NoSuchKey", "The specified key does not exist.")


def denied(reason: str) -> ApiError:
    """No contract covers the request. `reason` is part of the message."""
    return ApiError(403, "AccessDenied", f"Access Denied ({reason})")


def not_implemented(message: str) -> ApiError:
    """An operation of S3's API that is not supported."""
    return ApiError(501, "NotImplemented", message)


def invalid_argument(message: str) -> ApiError:
    """A parameter or header with an invalid value."""
    return ApiError(400, "InvalidArgument", message)


def api_error(error: Exception) -> ApiError:
    """Maps an exception of the store, the uploads or the XML parser to an error response."""
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
    # S3 clients expect Retry-After in whole seconds; the retry delays of the front are shorter, so round up
    wait = -(-(error.retry_after or timedelta()) // timedelta(seconds=1)) or 1
    message = "Please reduce your request rate."
    if error.rule:
        message = f"Your contract's budget is spent: {error.rule}."
    return ApiError(503, "SlowDown", message, {"Retry-After": str(wait)})
