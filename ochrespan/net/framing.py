"""The framing of one HTTP/1.1 message, followed strictly through the bytes of a connection.

For both sides: requests of clients and answers of chunk servers. Whatever could be read in two ways is not read.
What is read goes on in one form: chunks without extensions and trailers, which not every parser takes.
"""

from __future__ import annotations

import re

MOST_HEAD = 16 * 1024
MOST_CHUNK_LINE = 1024  # bytes of a chunk's size and its extensions
MOST_TRAILER = 16 * 1024  # bytes of the fields behind the last chunk
CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"

FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)")
CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t\x20-\x7e\x80-\xff]*)?\r\n")  # a size, and extensions


class Unreadable(ValueError):
    """Not a message, or not one within the bounds; `status` is what its sender may be told."""

    def __init__(self, why: str, status: int = 400) -> None:
        super().__init__(why)
        self.status = status


class Framer:
    """One message, from its first byte to its last, however the bytes are cut."""

    FIRST_LINE: re.Pattern[bytes]

    def __init__(self, most_body: int | None) -> None:
        """`most_body` None: a body of any length."""
        self._most_body = most_body
        self.head = bytearray()
        self.first: re.Match[bytes] | None = None  # the first line, once the head is whole
        self.fields: list[tuple[bytes, bytes]] = []  # names in small letters
        self.whole = False
        self.length: int | None = None  # of the body, where it is announced
        self.open_ended = False  # the end of the connection is the end of its body
        self._left = 0  # bytes of the body, or of the chunk that has begun with its line's end
        self._size: int | None = None  # of the body so far, where no length is told; None: one is
        self._last = False  # the last chunk's size has come: trailers follow
        self._line = b""  # what has come of a line that tells a chunk's size, or of a trailer
        self._trailer = 0  # bytes of trailers so far
        self._passed = bytearray()  # what may go on, and has not been handed over

    def _begins(self) -> bool:
        """Whether what has come of the head can be the beginning of one."""
        raise NotImplementedError

    def _bodiless(self) -> bool:
        """Whether no body follows this head, whatever it says."""
        raise NotImplementedError

    def _open_ended(self) -> bool:
        """Whether a head that tells no length says that its body goes on until the connection ends."""
        return False

    def take(self, data: bytes) -> int:
        """Takes in what belongs to the message, and returns how many bytes that was."""
        used = 0
        if self.first is None:
            used = self._take_head(data)
            if self.first is not None:
                self._passed += self.head
        if self.first is not None and not self.whole:
            if self.open_ended:
                used = self._take_open_ended(data, used)
            elif self._size is None:
                used = self._take_body(data, used)
            else:
                used = self._take_chunks(data, used)
        return used

    def passed(self) -> bytes:
        """What has been taken in since the last call, as it is to go on; nothing before the head is whole."""
        passed, self._passed = bytes(self._passed), bytearray()
        return passed

    def _take_head(self, data: bytes) -> int:
        before = len(self.head)
        self.head += data
        if not self._begins():
            raise Unreadable("this is no HTTP message")
        end = self.head.find(b"\r\n\r\n", max(0, before - 3), MOST_HEAD)
        if end < 0:
            if len(self.head) >= MOST_HEAD:
                raise Unreadable("the head is too long", 431)
            # a head whose lines end in another way would be waited for in vain
            if self.head.count(b"\n") > self.head.count(b"\r\n"):
                raise Unreadable("a line does not end as it should")
            return len(data)
        del self.head[end + 4 :]
        self._read_head()
        return len(self.head) - before

    def _read_head(self) -> None:
        first, *lines = bytes(self.head[:-4]).split(b"\r\n")
        match = self.FIRST_LINE.fullmatch(first)
        if match is None:
            raise Unreadable("the first line cannot be read")
        for line in lines:
            field = FIELD.fullmatch(line)
            if field is None:
                raise Unreadable("a header cannot be read")
            self.fields.append((field[1].lower(), field[2].strip()))
        self.first = match
        lengths = [value for name, value in self.fields if name == b"content-length"]
        codings = [value.lower() for name, value in self.fields if name == b"transfer-encoding"]
        if self._bodiless():
            lengths = [b"0"]
        elif codings:
            if lengths or codings != [b"chunked"]:  # another message could hide in what one of the two leaves over
                raise Unreadable("the length is told in two ways, or in an unknown one")
            self._size = 0
            return
        if not lengths and self._open_ended():
            self.open_ended = True
            return
        if len(lengths) != 1 or not lengths[0].isdigit() or len(lengths[0]) > 18:
            raise Unreadable("the length is missing or no length")
        self._left = self.length = int(lengths[0])
        self._bounded(self._left)
        self.whole = not self._left

    def _bounded(self, size: int) -> None:
        if self._most_body is not None and size > self._most_body:
            raise Unreadable("the body is too long", 413)

    def _take_open_ended(self, data: bytes, at: int) -> int:
        self._size = (self._size or 0) + len(data) - at
        self._bounded(self._size)
        self._passed += data[at:]
        return len(data)

    def _take_body(self, data: bytes, at: int) -> int:
        taken = min(self._left, len(data) - at)
        self._passed += data[at : at + taken]
        self._left -= taken
        self.whole = not self._left
        return at + taken

    def _take_chunks(self, data: bytes, at: int) -> int:
        while at < len(data) and not self.whole:
            if self._last:
                at = self._take_trailer(data, at)
            elif self._left > len(CRLF):
                at = self._take_chunk(data, at)
            elif self._left:
                at = self._take_chunk_end(data, at)
            else:
                at = self._take_size(data, at)
        return at

    def _take_chunk(self, data: bytes, at: int) -> int:
        taken = min(self._left - len(CRLF), len(data) - at)
        self._passed += b"%x\r\n%b\r\n" % (taken, data[at : at + taken])
        self._left -= taken
        return at + taken

    def _take_chunk_end(self, data: bytes, at: int) -> int:
        if data[at] != CRLF[-self._left]:
            raise Unreadable("a chunk does not end where it should")
        self._left -= 1
        return at + 1

    def _take_size(self, data: bytes, at: int) -> int:
        at = self._take_line(data, at, MOST_CHUNK_LINE, "a chunk's size is too long")
        if self._line.endswith(b"\n"):
            line, self._line = self._line, b""
            found = CHUNK.fullmatch(line)
            if found is None:
                raise Unreadable("a chunk's size cannot be read")
            self._begin_chunk(int(found[1], 16))
        return at

    def _begin_chunk(self, size: int) -> None:
        assert self._size is not None
        self._size += size
        self._bounded(self._size)
        self._last = not size
        self._left = size + len(CRLF) if size else 0

    def _take_trailer(self, data: bytes, at: int) -> int:
        """Fields behind the last chunk, up to an empty line."""
        at = self._take_line(data, at, MOST_TRAILER - self._trailer, "the trailers are too long")
        if self._line.endswith(b"\n"):
            line, self._line = self._line, b""
            self._trailer += len(line)
            if line == CRLF:
                self.whole = True
                self._passed += LAST_CHUNK
            elif not (line.endswith(CRLF) and FIELD.fullmatch(line[: -len(CRLF)])):
                raise Unreadable("a trailer cannot be read")
        return at

    def _take_line(self, data: bytes, at: int, most: int, fault: str) -> int:
        """Takes in a line up to its end, or what there is of it."""
        end = data.find(b"\n", at) + 1 or len(data)
        self._line += data[at:end]
        if len(self._line) > most:
            raise Unreadable(fault)
        return end
