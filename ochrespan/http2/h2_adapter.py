"""What h2 does otherwise than this server needs: its limit of streams, its reading of GOAWAY, and some error codes."""

from __future__ import annotations

from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.errors import ErrorCodes
from h2.settings import SettingCodes, Settings
from hpack.exceptions import HPACKError
from hyperframe.exceptions import InvalidDataError
from hyperframe.frame import GoAwayFrame

from .limits import Limits

INITIAL_CONNECTION_WINDOW_BYTES = 65_535  # bytes: RFC 9113, section 6.9.2
HPACK_TABLE_BYTES = 4096  # bytes of HPACK's table
MAX_FRAME_BYTES = 16_384  # bytes of a frame that a client may send


class ServerH2Connection(H2Connection):
    """h2's connection on the server's side, set up by our limits."""

    def __init__(self, limits: Limits) -> None:
        super().__init__(H2Configuration(client_side=False, header_encoding="utf-8", validate_outbound_headers=False))
        self.local_settings = _initial_settings(limits)
        self.decoder.max_header_list_size = limits.max_header_bytes
        self.initiate_connection()
        if (more := limits.connection_window_bytes - INITIAL_CONNECTION_WINDOW_BYTES) > 0:
            self.increment_flow_control_window(more)

    @property
    def open_inbound_streams(self) -> int:
        """None as far as h2 is concerned, which would end the connection at the limit: ours refuses the stream."""
        super().open_inbound_streams  # noqa: B018  lets go of the ended ones
        return 0

    def _receive_goaway_frame(self, frame: GoAwayFrame):  # type: ignore[no-untyped-def]
        """A client that goes away still waits for its answers (RFC 9113, section 6.8): h2 would send none."""
        state = self.state_machine.state
        result = super()._receive_goaway_frame(frame)
        self.state_machine.state = state
        return result


def error_code_of(error: Exception) -> int:
    """The RFC's code for what h2 refused: it tells some faults of compression and size as others."""
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
