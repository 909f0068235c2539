"""Strict, incremental parsing of the framing of one HTTP/1.1 message.

Used for clients' requests and chunk servers' responses. An ambiguous message is rejected. Chunked bodies are forwarded
without chunk extensions and trailers, which not every parser accepts.
"""

from __future__ import annotations

import re

MAX_HEADER_SECTION_BYTES = 16 * 1024
MAX_CHUNK_LINE_BYTES = 1024  # a chunk's size and its extensions
MAX_TRAILER_SECTION_BYTES = 16 * 1024  # the fields after the last chunk
CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"

FIELD_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?\r\n")  # size; extensions


class MalformedMessage(ValueError):
    """The message is malformed or exceeds a limit; `status` is the HTTP status for its sender, if it is a client."""

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class MessageFramer:
    """Parses one message from its first byte to its last, in segments of any size."""

    START_LINE: re.Pattern[bytes]

    def __init__(self, max_body_bytes: int | None) -> None:
        """`max_body_bytes` None: unlimited."""
        self._max_body_bytes = max_body_bytes
        self.header_section = bytearray()
        self.start_line: re.Match[bytes] | None = None  # once the header section is complete
        self.fields: list[tuple[bytes, bytes]] = []  # names in lower case
        self.complete = False
        self.length: int | None = None  # body length in bytes, if declared
        self.delimited_by_close = False  # whether the body ends with the connection
        self._remaining = 0  # bytes left of the body, or of the current chunk and its CRLF
        self._body_size: int | None = None  # bytes of the body so far; None if its length is declared
        self._in_trailers = False  # the last chunk's size line was received
        self._partial_line = b""  # received bytes of a chunk size line or of a trailer
        self._trailer_size = 0  # bytes of the trailer section so far
        self._output = bytearray()  # bytes to forward that `take_output` has not returned yet

    def _is_possible_start(self) -> bool:
        """Whether the bytes received so far can be the start of a message."""
        raise NotImplementedError

    def _has_no_body(self) -> bool:
        """Whether no body follows, whatever the header section declares."""
        raise NotImplementedError

    def _announces_close(self) -> bool:
        """Whether a message without a declared length announces that its body ends with the connection."""
        return False

    def consume(self, data: bytes) -> int:
        """Consumes the bytes that belong to the message, and returns their number."""
        consumed = 0
        if self.start_line is None:
            consumed = self._consume_header_section(data)
            if self.start_line is not None:
                self._output += self.header_section
        if self.start_line is not None and not self.complete:
            if self.delimited_by_close:
                consumed = self._consume_until_close(data, consumed)
            elif self._body_size is None:
                consumed = self._consume_body(data, consumed)
            else:
                consumed = self._consume_chunks(data, consumed)
        return consumed

    def take_output(self) -> bytes:
        """Returns the bytes to forward since the last call; none before the header section is complete."""
        output, self._output = bytes(self._output), bytearray()
        return output

    def _consume_header_section(self, data: bytes) -> int:
        before = len(self.header_section)
        self.header_section += data
        if not self._is_possible_start():
            raise MalformedMessage("this is no HTTP message")
        end = self.header_section.find(b"\r\n\r\n", max(0, before - 3), MAX_HEADER_SECTION_BYTES)
        if end < 0:
            if len(self.header_section) >= MAX_HEADER_SECTION_BYTES:
                raise MalformedMessage("the head is too long", 431)
            # a header section with bare LF would never be recognised as complete
            if self.header_section.count(b"\n") > self.header_section.count(b"\r\n"):
                raise MalformedMessage("a line does not end as it should")
            return len(data)
        del self.header_section[end + 4 :]
        self._parse_header_section()
        return len(self.header_section) - before

    def _parse_header_section(self) -> None:
        start_line, *lines = bytes(self.header_section[:-4]).split(b"\r\n")
        match = self.START_LINE.fullmatch(start_line)
        if match is None:
            raise MalformedMessage("the first line cannot be read")
        for line in lines:
            field = FIELD_LINE.fullmatch(line)
            if field is None:
                raise MalformedMessage("a header cannot be read")
            self.fields.append((field[1].lower(), field[2].strip()))
        self.start_line = match
        lengths = [value for name, value in self.fields if name == b"content-length"]
        codings = [value.lower() for name, value in self.fields if name == b"transfer-encoding"]
        if self._has_no_body():
            lengths = [b"0"]
        elif codings:
            if lengths or codings != [b"chunked"]:  # request smuggling: the two could delimit different messages
                raise MalformedMessage("the length is told in two ways, or in an unknown one")
            self._body_size = 0
            return
        if not lengths and self._announces_close():
            self.delimited_by_close = True
            return
        if len(lengths) != 1 or not lengths[0].isdigit() or len(lengths[0]) > 18:
            raise MalformedMessage("the length is missing or no length")
        self._remaining = self.length = int(lengths[0])
        self._check_body_size(self._remaining)
        self.complete = not self._remaining

    def _check_body_size(self, size: int) -> None:
        if self._max_body_bytes is not None and size > self._max_body_bytes:
            raise MalformedMessage("the body is too long", 413)

    def _consume_until_close(self, data: bytes, position: int) -> int:
        self._body_size = (self._body_size or 0) + len(data) - position
        self._check_body_size(self._body_size)
        self._output += data[position:]
        return len(data)

    def _consume_body(self, data: bytes, position: int) -> int:
        size = min(self._remaining, len(data) - position)
        self._output += data[position : position + size]
        self._remaining -= size
        self.complete = not self._remaining
        return position + size

    def _consume_chunks(self, data: bytes, position: int) -> int:
        while position < len(data) and not self.complete:
            if self._in_trailers:
                position = self._consume_trailer(data, position)
            elif self._remaining > len(CRLF):
                position = self._consume_chunk_data(data, position)
            elif self._remaining:
                position = self._consume_chunk_end(data, position)
            else:
                position = self._consume_chunk_size(data, position)
        return position

    def _consume_chunk_data(self, data: bytes, position: int) -> int:
        size = min(self._remaining - len(CRLF), len(data) - position)
        self._output += b"%x\r\n%b\r\n" % (size, data[position : position + size])
        self._remaining -= size
        return position + size

    def _consume_chunk_end(self, data: bytes, position: int) -> int:
        if data[position] != CRLF[-self._remaining]:
            raise MalformedMessage("a chunk does not end where it should")
        self._remaining -= 1
        return position + 1

    def _consume_chunk_size(self, data: bytes, position: int) -> int:
        position = self._consume_line(data, position, MAX_CHUNK_LINE_BYTES, "a chunk's size is too long")
        if self._partial_line.endswith(b"\n"):
            line, self._partial_line = self._partial_line, b""
            size_line_match = CHUNK_SIZE_LINE.fullmatch(line)
            if size_line_match is None:
                raise MalformedMessage("a chunk's size cannot be read")
            self._begin_chunk(int(size_line_match[1], 16))
        return position

    def _begin_chunk(self, size: int) -> None:
        assert self._body_size is not None
        self._body_size += size
        self._check_body_size(self._body_size)
        self._in_trailers = not size
        self._remaining = size + len(CRLF) if size else 0

    def _consume_trailer(self, data: bytes, position: int) -> int:
        """Consumes the fields after the last chunk, up to an empty line."""
        position = self._consume_line(
            data, position, MAX_TRAILER_SECTION_BYTES - self._trailer_size, "the trailers are too long"
        )
        if self._partial_line.endswith(b"\n"):
            line, self._partial_line = self._partial_line, b""
            self._trailer_size += len(line)
            if line == CRLF:
                self.complete = True
                self._output += LAST_CHUNK
            elif not (line.endswith(CRLF) and FIELD_LINE.fullmatch(line[: -len(CRLF)])):
                raise MalformedMessage("a trailer cannot be read")
        return position

    def _consume_line(self, data: bytes, position: int, limit: int, error: str) -> int:
        """Consumes a line up to its end, or the received part of it."""
        end = data.find(b"\n", position) + 1 or len(data)
        self._partial_line += data[position:end]
        if len(self._partial_line) > limit:
            raise MalformedMessage(error)
        return end
