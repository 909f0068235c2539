"""Network addresses of processes as a pair of host and port, and their text form."""

from __future__ import annotations

Address = tuple[str, int]
"""IP address or host name, and port."""

MAX_PORT = 65535


def parse_address(text: str) -> Address:
    """Reads the text form of an address, such as `10.0.0.1:8000`.

    Raises:
        ValueError: The text isn't of this form, or the port exceeds MAX_PORT.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"found {text!r}, allowed IP:PORT")
    return host, int(port)


def format_address(address: Address) -> str:
    """The text form of an address, such as `10.0.0.1:8000`."""
    return f"{address[0]}:{address[1]}"
