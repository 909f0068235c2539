"""Errors of the replica host."""

from __future__ import annotations

from ochrespan.common.addresses import Address, format_address


class OutcomeUnknownError(Exception):
    """The command may or may not be applied: the leader was lost, time ran out, or there is no quorum."""


class NotLeaderError(Exception):
    """The command was surely not appended here. `leader`: who may lead, if known."""

    def __init__(self, leader: Address | None) -> None:
        super().__init__(f"the leader is {format_address(leader) if leader else 'unknown'}")
        self.leader = leader
