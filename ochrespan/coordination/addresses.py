"""Where the other processes reach one: apart from the messages, which routers do without."""

from __future__ import annotations

Address = tuple[str, int]
