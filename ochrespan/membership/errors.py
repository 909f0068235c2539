"""Exceptions of the membership package."""

from __future__ import annotations


class MembershipError(Exception):
    """Base of all exceptions of this package."""


class MalformedMessageError(MembershipError, ValueError):
    """A datagram that contains no valid SWIM message: unknown kind, or fields that don't fit the kind."""
