"""The replicated state of a controller: one state machine per shard."""

from __future__ import annotations

from ochrespan.control_plane.config.state_machine import ConfigurationStateMachine
from ochrespan.control_plane.registry.records import InstanceRecord
from ochrespan.control_plane.registry.state_machine import InstanceStateMachine
from ochrespan.control_plane.replication.state_machine import StateMachine

from .shards import ALL_SHARDS, CONFIG_SHARD


class ControlState:
    """The state machines of all shards.

    Attributes:
        configuration: The state machine of the configuration shard.
        instances: The state machine of each instance shard, by shard.
    """

    def __init__(self) -> None:
        self.configuration = ConfigurationStateMachine()
        self.instances = {shard: InstanceStateMachine() for shard in ALL_SHARDS if shard != CONFIG_SHARD}

    def records(self) -> list[InstanceRecord]:
        """The registered instances of all shards."""
        return [record for machine in self.instances.values() for record in machine.records.values()]

    @property
    def machines(self) -> dict[int, StateMachine]:
        """The state machine of each shard, for the replica host."""
        return {CONFIG_SHARD: self.configuration, **self.instances}
