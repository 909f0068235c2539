"""Errors of the control interface. `handlers` converts each of them to a response with findings."""

from __future__ import annotations

from ochrespan.control_plane.errors import ControlPlaneError


class ControlApiError(ControlPlaneError):
    """Base of the errors of the control interface."""


class BodyTooLargeError(ControlApiError):
    """A request body is larger than the control interface accepts.

    Attributes:
        max_bytes: The limit that was exceeded.
    """

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"request body larger than {max_bytes} bytes")
        self.max_bytes = max_bytes
