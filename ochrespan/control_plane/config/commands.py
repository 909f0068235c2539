"""Commands that change the configuration, and functions that build them from validated documents."""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass
from typing import Any

from ochrespan.common.validation import Finding, ValidationError
from ochrespan.transport import compact
from ochrespan.transport.codec import encode, message

DIGEST_BYTES = 16
RESTORE_KIND = "restore"  # kind of a restored backup in the history, besides the values of `ConfigCommandKind`
MAX_EXACT_INTEGER = 2**53  # a float represents every integer below it exactly


class ConfigCommandKind(enum.StrEnum):
    """How a command changes the configuration. The values are on the wire and in the replicated log."""

    REPLACE = "whole"  # PUT: the document becomes the configuration
    PATCH = "patch"  # PATCH: items are added, replaced or deleted by name


@message("cp.order")
@dataclass(slots=True)
class ConfigCommand:
    """A change of the configuration that is valid for one current version only (optimistic concurrency).

    Attributes:
        kind: A value of `ConfigCommandKind`.
        builds_on: The version that the change builds on.
        digest: Identifies the command, so that a retry is recognised. It covers kind, `builds_on` and document, but not
            `received_ms`, which differs between a command and its retry.
        body: The document, packed by `compact`.
        received_ms: Unix time in milliseconds at the controller that received it; shown in the history.
    """

    kind: str
    builds_on: int
    digest: bytes
    body: bytes
    received_ms: int = 0


@message("cp.restore")
@dataclass(slots=True)
class RestoreCommand:
    """Restores a backup into an empty cluster: the configuration, and the digests of commands accepted before it.

    Attributes:
        digest: Identifies the command, so that a retry is recognised.
        body: A `documents.BackupDocument`, packed by `compact`.
        received_ms: Unix time in milliseconds at the controller that received it; shown in the history.
    """

    digest: bytes
    body: bytes
    received_ms: int = 0


def make_command(
    kind: ConfigCommandKind, builds_on: int, document: dict[str, Any], received_ms: int = 0
) -> ConfigCommand:
    """Builds the command for a validated document; `received_ms` is Unix time in milliseconds.

    Equal documents have equal digests, regardless of the order of their fields and the notation of their numbers.

    Raises:
        ValidationError: The document contains a string or number that cannot be packed.
    """
    body, digest = _pack(f"{kind.value} {builds_on} ", document)
    return ConfigCommand(kind.value, builds_on, digest, body, received_ms)


def make_restore_command(backup: dict[str, Any], received_ms: int = 0) -> RestoreCommand:
    """Builds the command for a validated `documents.BackupDocument`; `received_ms` is Unix time in milliseconds.

    Raises:
        ValidationError: The document contains a string or number that cannot be packed.
    """
    body, digest = _pack(f"{RESTORE_KIND} ", backup)
    return RestoreCommand(digest, body, received_ms)


def _pack(prefix: str, document: dict[str, Any]) -> tuple[bytes, bytes]:
    """Returns the packed document, and the digest of `prefix` and the document."""
    try:
        body = compact.pack_sorted(document)
        identity = compact.pack_sorted(_normalise_numbers(document))
    except compact.PackingError as error:
        raise ValidationError([Finding("body", str(error), "strings of Unicode, numbers of 64 bits")]) from error
    digest = hashlib.blake2b(prefix.encode(), digest_size=DIGEST_BYTES)
    digest.update(identity)
    return compact.compress(body), digest.digest()


def _normalise_numbers(value: Any) -> Any:
    """Replaces floats like 1.0 by integers throughout the value: in JSON, 1.0 and 1 are the same number."""
    if isinstance(value, float) and value.is_integer() and abs(value) < MAX_EXACT_INTEGER:
        return int(value)
    if isinstance(value, dict):
        return {name: _normalise_numbers(each) for name, each in value.items()}
    if isinstance(value, list):
        return [_normalise_numbers(each) for each in value]
    return value


def encode_command(command: ConfigCommand | RestoreCommand) -> bytes:
    """Encodes the command for the log of the configuration shard."""
    return encode(command)
