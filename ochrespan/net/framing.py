"""The framing of one HTTP/1.1 message, followed strictly through the bytes of a connection.

For both sides: requests of clients and answers of chunk servers. Whatever could be read in two ways is not read.
"""

from __future__ import annotations

import re

MOST_HEAD = 16 * 1024
MOST_CHUNK_LINE = 8  # hex digits of a chunk's size; extensions and trailers are not taken

FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([\t\x20-\x7e\x80-\xff]*)")
CHUNK = re.compile(rb"[0-9A-Fa-f]{1,%d}" % MOST_CHUNK_LINE)


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
        self.open_ended = False  # the end of the connection is the end of its body
        self._left = 0  # bytes of the body, or of the chunk that has begun with its line's end
        self._size: int | None = None  # of the body so far, where no length is told; None: one is
        self._last = False
        self._line = b""

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
        if self.first is not None and not self.whole:
            if self.open_ended:
                self._size = (self._size or 0) + len(data) - used
                self._bounded(self._size)
                used = len(data)
            else:
                used = self._take_body(data, used) if self._size is None else self._take_chunks(data, used)
        return used

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
        del self.head[end + 4:]
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
        self._left = int(lengths[0])
        self._bounded(self._left)
        self.whole = not self._left

    def _bounded(self, size: int) -> None:
        if self._most_body is not None and size > self._most_body:
            raise Unreadable("the body is too long", 413)

    def _take_body(self, data: bytes, at: int) -> int:
        taken = min(self._left, len(data) - at)
        self._left -= taken
        self.whole = not self._left
        return at + taken

    def _take_chunks(self, data: bytes, at: int) -> int:
        assert self._size is not None
        while at < len(data) and not self.whole:
            if self._left > 2:  # within a chunk
                taken = min(self._left - 2, len(data) - at)
                self._left, at = self._left - taken, at + taken
            elif self._left:  # its end
                if data[at] != b"\n\r"[self._left - 1]:
                    raise Unreadable("a chunk does not end where it should")
                self._left, at = self._left - 1, at + 1
                self.whole = self._last and not self._left
            else:
                end = data.find(b"\n", at, at + MOST_CHUNK_LINE + 2)
                stop = len(data[at:at + MOST_CHUNK_LINE + 2]) + at if end < 0 else end + 1
                self._line, at = self._line + data[at:stop], stop
                if end < 0 and len(self._line) < MOST_CHUNK_LINE + 2:
                    continue
                if self._line[-2:] != b"\r\n" or not CHUNK.fullmatch(self._line[:-2]):
                    raise Unreadable("a chunk's size cannot be read")
                size, self._line = int(self._line[:-2], 16), b""
                self._size, self._left, self._last = self._size + size, size + 2, not size
                self._bounded(self._size)
        return at
