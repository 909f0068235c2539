"""Which instance keeps which shared parts of prompts: a part of the state of a shard of instances. Pure.

It is replicated so that a restart of all controllers and routers does not send prefixes to servers that would have to
read them anew. An entry that is lost costs that reading and nothing else.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ochrespan.transport.codec import message

MAX_PREFIXES = 2048  # of one service; those placed longest ago are forgotten


@message("cp.homes")
@dataclass(slots=True)
class AssignPrefixes:
    """Prefixes of a service's prompts that were placed: prefix, instance and tokens of each."""

    service: str
    entries: list[tuple[str, str, float]]


class PrefixPlacements:
    """The prefixes of some services."""

    def __init__(self, services: dict[str, list[Any]] | None = None) -> None:
        self._services: dict[str, dict[str, tuple[str, float]]] = {}
        self._tokens: dict[str, float] = {}  # by instance
        for service, entries in (services or {}).items():
            self.assign(AssignPrefixes(service, [tuple(entry) for entry in entries]))

    def of(self, service: str, prefix: str) -> str:
        """The instance that keeps a prefix, empty where none is known to."""
        return self._services.get(service, {}).get(prefix, ("", 0.0))[0]

    def tokens(self, instance: str) -> float:
        """The tokens of all prefixes that an instance keeps."""
        return self._tokens.get(instance, 0.0)

    def assign(self, command: AssignPrefixes) -> None:
        """Takes placements over; a later one replaces an earlier one of the same prefix."""
        known = self._services.setdefault(command.service, {})
        for prefix, instance, tokens in command.entries:
            self._drop(known, prefix)
            known[prefix] = (instance, tokens)
            self._tokens[instance] = self._tokens.get(instance, 0.0) + tokens
            if len(known) > MAX_PREFIXES:
                self._drop(known, next(iter(known)))

    def forget(self, service: str, prefixes: list[str]) -> None:
        """Drops these prefixes."""
        known = self._services.get(service, {})
        for prefix in prefixes:
            self._drop(known, prefix)

    def fields(self) -> dict[str, list[Any]]:
        """The state as plain values."""
        return {
            service: [[prefix, instance, tokens] for prefix, (instance, tokens) in known.items()]
            for service, known in self._services.items()
        }

    def _drop(self, known: dict[str, tuple[str, float]], prefix: str) -> None:
        instance, tokens = known.pop(prefix, ("", 0.0))
        left = self._tokens.pop(instance, 0.0) - tokens
        if left > 0:
            self._tokens[instance] = left
