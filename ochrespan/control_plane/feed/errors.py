"""The reasons for which a router leaves the controller whose feed it follows."""

from __future__ import annotations

from ochrespan.common.addresses import Address, format_address
from ochrespan.control_plane.errors import ControlPlaneError


class LeaveControllerError(ControlPlaneError):
    """The router should stop following this controller: another one may have a current feed."""


class FeedGapError(LeaveControllerError):
    """Changes are missing between the router's offset and a received change.

    Attributes:
        shard: The shard of the change.
        previous: The offset that the change builds on.
        offset: The router's offset; None if it has no state of the shard.
    """

    def __init__(self, shard: int, previous: int, offset: int | None) -> None:
        super().__init__(f"changes missing in shard {shard}: message builds on {previous}, router is at {offset}")
        self.shard = shard
        self.previous = previous
        self.offset = offset


class OtherClusterError(LeaveControllerError):
    """The controller belongs to another cluster than the router's table.

    Attributes:
        cluster: Cluster id of the controller.
        own_cluster: Cluster id of the router's table.
    """

    def __init__(self, cluster: int, own_cluster: int) -> None:
        super().__init__(f"controller belongs to cluster {cluster}, the router's table to {own_cluster}")
        self.cluster = cluster
        self.own_cluster = own_cluster


class QuorumLostError(LeaveControllerError):
    """A shard's group had no quorum for too long, as far as the controller knows.

    Attributes:
        quorum_age_s: Seconds since the quorum was confirmed, for the shard where that was longest ago.
    """

    def __init__(self, quorum_age_s: float) -> None:
        super().__init__(f"no majority for {quorum_age_s:.1f} s")
        self.quorum_age_s = quorum_age_s


class ControllerLagsError(LeaveControllerError):
    """The controller has not applied commands that other controllers have applied.

    Attributes:
        lag_s: Seconds for which the controller has lagged, for the shard that lags most.
    """

    def __init__(self, lag_s: float) -> None:
        super().__init__(f"behind other controllers for {lag_s:.1f} s")
        self.lag_s = lag_s


class LogResetError(LeaveControllerError):
    """A shard has a new log, with lower offsets than the router's.

    Attributes:
        shard: The shard.
        controller: The controller that has the new log.
    """

    def __init__(self, shard: int, controller: Address) -> None:
        super().__init__(f"shard {shard} has a new log at {format_address(controller)}")
        self.shard = shard
        self.controller = controller
