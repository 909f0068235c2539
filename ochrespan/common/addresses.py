"""Network addresses of processes as a pair of host and port, and their text form."""

from __future__ import annotations

Address = tuple[str, int]

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """`10.0.0.1:8000` as a pair of host and port; raises ValueError."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"found {text!r}, allowed IP:PORT")
    return host, int(port)


def format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
