"""The base of every error that the control plane raises."""

from __future__ import annotations


class ControlPlaneError(Exception):
    """An operation of the control plane failed; the subclass says whether it may have had an effect."""
