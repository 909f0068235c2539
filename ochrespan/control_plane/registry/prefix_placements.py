"""The placements of shared prompt prefixes on the instances that cache them; state of an instance shard. Pure.

Placements are replicated so that after a restart of all controllers and routers, requests still reach the servers that
have cached their prefixes. The only cost of a lost placement is one prefill.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ochrespan.transport.codec import message

MAX_PREFIXES = 2048  # of one service; beyond that, the oldest placement is evicted


@message("cp.homes")
@dataclass(slots=True)
class AssignPrefixes:
    """Places prefixes of a service's prompts; each entry is a prefix, an instance id and a number of tokens."""

    service: str
    entries: list[tuple[str, str, float]]


class PrefixPlacements:
    """The placements of the prefixes of several services."""

    def __init__(self, services: dict[str, list[Any]] | None = None) -> None:
        self._services: dict[str, dict[str, tuple[str, float]]] = {}
        self._tokens: dict[str, float] = {}  # by instance
        for service, entries in (services or {}).items():
            self.assign(AssignPrefixes(service, [tuple(entry) for entry in entries]))

    def instance_of(self, service: str, prefix: str) -> str:
        """Returns the id of the instance that a prefix is placed on; empty if there is none."""
        return self._services.get(service, {}).get(prefix, ("", 0.0))[0]

    def tokens(self, instance: str) -> float:
        """Returns the sum of the tokens of all prefixes that are placed on an instance."""
        return self._tokens.get(instance, 0.0)

    def assign(self, command: AssignPrefixes) -> None:
        """Adds placements; a later one replaces an earlier one of the same prefix."""
        placements = self._services.setdefault(command.service, {})
        for prefix, instance, tokens in command.entries:
            self._remove(placements, prefix)
            placements[prefix] = (instance, tokens)
            self._tokens[instance] = self._tokens.get(instance, 0.0) + tokens
            if len(placements) > MAX_PREFIXES:
                self._remove(placements, next(iter(placements)))

    def forget(self, service: str, prefixes: list[str]) -> None:
        """Removes the placements of these prefixes."""
        placements = self._services.get(service, {})
        for prefix in prefixes:
            self._remove(placements, prefix)

    def fields(self) -> dict[str, list[Any]]:
        """Returns the placements as plain values, for snapshots."""
        return {
            service: [[prefix, instance, tokens] for prefix, (instance, tokens) in placements.items()]
            for service, placements in self._services.items()
        }

    def _remove(self, placements: dict[str, tuple[str, float]], prefix: str) -> None:
        instance, tokens = placements.pop(prefix, ("", 0.0))
        remaining = self._tokens.pop(instance, 0.0) - tokens
        if remaining > 0:
            self._tokens[instance] = remaining
