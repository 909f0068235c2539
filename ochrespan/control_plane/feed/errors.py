"""The reasons for which a router leaves the controller whose feed it follows."""

from __future__ import annotations

from ochrespan.common.addresses import Address, format_address
from ochrespan.control_plane.errors import ControlPlaneError


class LeaveControllerError(ControlPlaneError):
    """The feed of a controller cannot be followed further: another controller may serve better."""


class FeedGapError(LeaveControllerError):
    """A change does not follow the router's offset.

    Attributes:
        shard: The shard of the change.
        previous: The offset that the change builds on.
        offset: The router's offset; None where it has no state of the shard.
    """

    def __init__(self, shard: int, previous: int, offset: int | None) -> None:
        super().__init__(f"gap in shard {shard}: {previous} after {offset}")
        self.shard = shard
        self.previous = previous
        self.offset = offset


class OtherClusterError(LeaveControllerError):
    """The controller belongs to another cluster than the router's table.

    Attributes:
        cluster: Of the controller.
        own_cluster: Of the table.
    """

    def __init__(self, cluster: int, own_cluster: int) -> None:
        super().__init__(f"it belongs to another fleet, {cluster} in place of {own_cluster}")
        self.cluster = cluster
        self.own_cluster = own_cluster


class QuorumLostError(LeaveControllerError):
    """A shard's group had no quorum for too long, as far as the controller knows.

    Attributes:
        quorum_age_s: Seconds since the quorum was confirmed, of the shard where that was longest ago.
    """

    def __init__(self, quorum_age_s: float) -> None:
        super().__init__(f"no majority for {quorum_age_s:.1f} s")
        self.quorum_age_s = quorum_age_s


class ControllerLagsError(LeaveControllerError):
    """The controller has not applied what others have.

    Attributes:
        lag_s: For how many seconds, of the shard that lags most.
    """

    def __init__(self, lag_s: float) -> None:
        super().__init__(f"behind other controllers for {lag_s:.1f} s")
        self.lag_s = lag_s


class LogResetError(LeaveControllerError):
    """A shard's log began anew, with lower offsets than the router's.

    Attributes:
        shard: The shard.
        controller: The controller that has the new log.
    """

    def __init__(self, shard: int, controller: Address) -> None:
        super().__init__(f"shard {shard} has another log at {format_address(controller)}")
        self.shard = shard
        self.controller = controller
