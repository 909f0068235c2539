"""How far a router's feed has come: version, offsets and followed controller, each with its age.

Pure: the time is an argument, in seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ochrespan.common.addresses import Address, format_address


@dataclass(frozen=True, slots=True)
class ShardProgress:
    """The offset of one shard.

    Attributes:
        shard: The shard.
        offset: The offset up to which the router has its log.
        age_s: Seconds since the offset last changed.
    """

    shard: int
    offset: int
    age_s: float


@dataclass(frozen=True, slots=True)
class FeedProgress:
    """The state of a router's feed at one moment.

    Attributes:
        node: The router's node name.
        version: The version of the published configuration; 0 before the first.
        version_age_s: Seconds since it was published; None before the first.
        shards: The offsets that the router has.
        controller: The followed controller, None while no feed is current.
        controller_age_s: Seconds since the router began to follow it, or since it followed none.
        current_age_s: Seconds since a controller last confirmed that the feed is current; None before the first time.
    """

    node: str
    version: int
    version_age_s: float | None
    shards: tuple[ShardProgress, ...]
    controller: Address | None
    controller_age_s: float
    current_age_s: float | None

    def document(self) -> dict[str, Any]:
        """The JSON document of `GET /api/feed`."""
        return {
            "node": self.node,
            "version": self.version,
            "version_age_s": _rounded(self.version_age_s),
            "shards": [
                {"shard": each.shard, "offset": each.offset, "age_s": _rounded(each.age_s)} for each in self.shards
            ],
            "controller": None if self.controller is None else format_address(self.controller),
            "controller_age_s": _rounded(self.controller_age_s),
            "current_age_s": _rounded(self.current_age_s),
        }


class ProgressRecorder:
    """Records when version, offsets and followed controller changed.

    Args:
        node: The router's node name.
        now: The present time.
    """

    def __init__(self, node: str, now: float) -> None:
        self._node = node
        self._version = 0
        self._version_at: float | None = None
        self._offsets: dict[int, tuple[int, float]] = {}  # by shard, with the time of its last change
        self._controller: Address | None = None
        self._controller_at = now
        self._started_at = now
        self._current_at: float | None = None

    def record_version(self, version: int, now: float) -> None:
        """Records the version of a published table."""
        if version != self._version:
            self._version = version
            self._version_at = now

    def record_offsets(self, offsets: Mapping[int, int], now: float) -> None:
        """Records the offsets after a message; a shard that is missing has been reset."""
        self._offsets = {
            shard: known if (known := self._offsets.get(shard)) is not None and known[0] == offset else (offset, now)
            for shard, offset in offsets.items()
        }

    def record_current(self, controller: Address, now: float) -> bool:
        """Records that a controller's feed is current; returns whether the router did not follow it before."""
        is_new = controller != self._controller
        if is_new:
            self._controller = controller
            self._controller_at = now
        self._current_at = now
        return is_new

    def record_not_current(self, now: float) -> None:
        """Records that no controller's feed is known to be current."""
        if self._controller is not None:
            self._controller = None
            self._controller_at = now

    def seconds_without_feed(self, now: float) -> float:
        """Seconds since a feed was last confirmed as current, or since the start if there was none."""
        return now - (self._started_at if self._current_at is None else self._current_at)

    def progress(self, now: float) -> FeedProgress:
        """The state at `now`."""
        shards = (ShardProgress(shard, offset, now - at) for shard, (offset, at) in sorted(self._offsets.items()))
        return FeedProgress(
            node=self._node,
            version=self._version,
            version_age_s=_age(self._version_at, now),
            shards=tuple(shards),
            controller=self._controller,
            controller_age_s=now - self._controller_at,
            current_age_s=_age(self._current_at, now),
        )


def _age(at: float | None, now: float) -> float | None:
    return None if at is None else now - at


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
