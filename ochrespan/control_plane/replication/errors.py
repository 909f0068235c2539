"""Errors of proposals and of confirmed reads."""

from __future__ import annotations

from ochrespan.common.addresses import Address, format_address
from ochrespan.control_plane.errors import ControlPlaneError


class OutcomeUnknownError(ControlPlaneError):
    """The command may or may not be applied, or the read is unconfirmed: no quorum, a time-out, or lost leadership."""


class NotLeaderError(ControlPlaneError):
    """This process does not lead the shard; the command was not appended here, so it can be sent to the leader.

    Attributes:
        leader: Address of the leader; None where this process does not know it.
    """

    def __init__(self, leader: Address | None) -> None:
        super().__init__(f"the leader is {format_address(leader) if leader else 'unknown'}")
        self.leader = leader
