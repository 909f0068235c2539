"""The base class of the errors that the control plane raises."""

from __future__ import annotations


class ControlPlaneError(Exception):
    """An operation of the control plane failed; the subclasses define whether it may have had an effect."""
