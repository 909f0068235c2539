"""Commands that change the configuration, and how one is built from a checked document."""

from __future__ import annotations

import enum
import hashlib
from dataclasses import dataclass
from typing import Any

from ochrespan.common.validation import Finding, ValidationError
from ochrespan.transport import compact
from ochrespan.transport.codec import encode, message

DIGEST_BYTES = 16
MAX_EXACT_INTEGER = 2**53  # of a float


class ConfigCommandKind(enum.StrEnum):
    """How an order changes the configuration."""

    WHOLE = "whole"  # PUT
    PATCH = "patch"


@message("cp.order")
@dataclass(slots=True)
class ConfigCommand:
    """A change of the configuration on top of version `builds_on`. The body is packed by `compact`.

    `received_ms` is shown in the history and is no part of the digest: the same change may come at another time.
    """

    kind: str
    builds_on: int
    digest: bytes
    body: bytes
    received_ms: int = 0


def make_command(
    kind: ConfigCommandKind, builds_on: int, document: dict[str, Any], received_ms: int = 0
) -> ConfigCommand:
    """The order for a checked document.

    The same document makes the same order, however its fields are ordered and its numbers are written.
    """
    try:
        body, identity = compact.pack_sorted(document), compact.pack_sorted(_with_plain_numbers(document))
    except compact.PackingError as error:
        raise ValidationError([Finding("body", str(error), "strings of Unicode, numbers of 64 bits")]) from error
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(f"{kind.value} {builds_on} ".encode())
    digest.update(identity)
    return ConfigCommand(kind.value, builds_on, digest.digest(), compact.compress(body), received_ms)


def _with_plain_numbers(value: Any) -> Any:
    """The value with 1 in place of 1.0: in JSON they are the same number."""
    if isinstance(value, float) and value.is_integer() and abs(value) < MAX_EXACT_INTEGER:
        return int(value)
    if isinstance(value, dict):
        return {name: _with_plain_numbers(each) for name, each in value.items()}
    if isinstance(value, list):
        return [_with_plain_numbers(each) for each in value]
    return value


def encode_command(order: ConfigCommand) -> bytes:
    """The command for the configuration's shard."""
    return encode(order)
