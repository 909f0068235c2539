"""Adapts h2 where its behaviour differs from this server's: stream limit, GOAWAY from clients, some error codes."""

from __future__ import annotations

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.settings import SettingCodes, Settings
from hpack.exceptions import HPACKError
from hyperframe.exceptions import InvalidDataError
from hyperframe.frame import GoAwayFrame

from .limits import Limits

INITIAL_CONNECTION_WINDOW_BYTES = 65_535  # RFC 9113, section 6.9.2
HPACK_TABLE_BYTES = 4096  # dynamic table for decoding request fields
MAX_FRAME_BYTES = 16_384  # largest frame payload that a client may send


class ServerH2Connection(H2Connection):
    """A server-side h2 connection configured from `Limits`."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(H2Configuration(client_side=False, header_encoding="utf-8", validate_outbound_headers=False))
        self.local_settings = _initial_settings(limits)
        self.decoder.max_header_list_size = limits.max_header_bytes
        self.initiate_connection()
        if (more := limits.connection_window_bytes - INITIAL_CONNECTION_WINDOW_BYTES) > 0:
            self.increment_flow_control_window(more)

    @property
    def open_inbound_streams(self) -> int:
        """Always 0: above its limit h2 would end the connection, while `Connection` refuses just the stream."""
        super().open_inbound_streams  # noqa: B018  removes closed streams
        return 0

    def _receive_goaway_frame(self, frame: GoAwayFrame):  # type: ignore[no-untyped-def]
        """Restores the state after a GOAWAY: the client still expects responses (RFC 9113, section 6.8), but h2 would
        send none."""
        state = self.state_machine.state
        result = super()._receive_goaway_frame(frame)
        self.state_machine.state = state
        return result


def error_code_of(error: Exception) -> int:
    """Maps an exception of h2 to the RFC's error code; h2 uses other codes for some compression and size errors."""
    cause = error.__cause__ or error.__context__
    if isinstance(cause, HPACKError) and "ENHANCE_YOUR_CALM" not in repr(getattr(error, "error_code", "")):
        return ErrorCodes.COMPRESSION_ERROR
    if isinstance(cause, InvalidDataError) and "ack" in str(cause).lower():  # RFC 9113, section 6.5
        return ErrorCodes.FRAME_SIZE_ERROR
    return getattr(error, "error_code", ErrorCodes.PROTOCOL_ERROR)


def _initial_settings(limits: Limits) -> Settings:
    return Settings(
        client=False,
        initial_values={
            SettingCodes.MAX_CONCURRENT_STREAMS: limits.max_streams,
            SettingCodes.MAX_HEADER_LIST_SIZE: limits.max_header_bytes,
            SettingCodes.INITIAL_WINDOW_SIZE: limits.stream_window_bytes,
            SettingCodes.ENABLE_PUSH: 0,
            SettingCodes.HEADER_TABLE_SIZE: HPACK_TABLE_BYTES,
            SettingCodes.MAX_FRAME_SIZE: MAX_FRAME_BYTES,
        },
    )
