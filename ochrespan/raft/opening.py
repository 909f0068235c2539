"""When the groups of a new cluster are opened for commands: once every initial member belongs to the cluster.

A majority of the initial members is enough to form the groups. But an initial member that has lost its disk while its
settings still say `bootstrap: true` looks like one that starts for the first time. Together with one that is late it
may form a second cluster, if the members of the first one are unreachable, and no process can distinguish that from a
first start. So a cluster acknowledges no command before every initial member has been in it. In each group the leader

1. waits until each initial member is a voter and has acknowledged an entry: its disk belongs to this cluster;
2. appends a marker, a command without content, and waits until each initial member has acknowledged that too.

Then it accepts commands. A process whose logs have no marker and no command therefore knows that its cluster has
acknowledged no command, and may leave it. Groups of a cluster that has accepted a command are open, as are those for
which an operator has confirmed that the missing initial members will not join (`proceed_without_missing`).
"""

from __future__ import annotations

import logging

from ochrespan.common.addresses import Address, format_address

from .local_groups import LocalGroups
from .messages import EntryKind
from .replica import Replica
from .state import Role

log = logging.getLogger(__name__)

MARKER = b""  # state machines reject a command without content
REPORT_MISSING_AFTER_S = 3.0  # a leader that waits for longer names the missing initial members in the log


class Opening:
    """Decides for each group that is led here whether it accepts commands, and appends the markers."""

    def __init__(self, local_groups: LocalGroups) -> None:
        self._local_groups = local_groups
        self._proceeds_without_missing = False
        self._has_reported = False
        local_groups.may_accept_commands = self.is_open

    @property
    def awaits_others(self) -> bool:
        """Whether there are other initial members, without which this cluster accepts no commands."""
        return bool(self._awaited_members())

    def proceed_without_missing(self) -> None:
        """Called when an operator confirms that no missing initial member belongs to another cluster."""
        self._proceeds_without_missing = True

    def is_open(self, replica: Replica) -> bool:
        """Whether the leader of a group may accept commands, given which initial members have joined."""
        if self._proceeds_without_missing or self._local_groups.has_commands:
            return True
        initial_members = self._awaited_members()
        if not initial_members:
            return True
        marker_index = replica.state.log.marker_index
        return marker_index is not None and not _missing_members(replica, initial_members, marker_index)

    def advance(self, now: float) -> None:
        """Appends the marker in each group that is led here, where all initial members have acknowledged an entry."""
        if self._proceeds_without_missing or self._local_groups.has_commands:
            return
        initial_members = self._awaited_members()
        if not initial_members:
            return
        for replica in self._local_groups.replicas.values():
            if replica.state.role is not Role.LEADER or replica.state.log.marker_index is not None:
                continue
            if not _missing_members(replica, initial_members, replica.replication.term_start_index):
                replica.state.now = now
                replica.replication.append(EntryKind.COMMAND, MARKER)
        self._report_missing(now)

    def missing_members(self) -> list[Address]:
        """The initial members that a group which is led here waits for; empty where it accepts commands."""
        initial_members = self._awaited_members()
        missing: set[Address] = set()
        for replica in self._local_groups.replicas.values():
            if replica.state.role is Role.LEADER and not self.is_open(replica):
                index = replica.state.log.marker_index or replica.replication.term_start_index
                missing.update(_missing_members(replica, initial_members, index))
        return sorted(missing)

    def _awaited_members(self) -> tuple[Address, ...]:
        """The initial members; none where this is the only one, or where the cluster's first version recorded none."""
        initial_members = self._local_groups.bootstrap.known_initial_members()
        return () if initial_members == (self._local_groups.bootstrap.settings.address,) else initial_members

    def _report_missing(self, now: float) -> None:
        """Logs the missing initial members once, after a leader has waited for REPORT_MISSING_AFTER_S."""
        since = [
            replica.state.leader_since or now
            for replica in self._local_groups.replicas.values()
            if replica.state.role is Role.LEADER
        ]
        if self._has_reported or not since or now - min(since) < REPORT_MISSING_AFTER_S:
            return
        if missing := self.missing_members():
            self._has_reported = True
            log.warning("commands wait for initial members missing=%s", ",".join(map(format_address, missing)))


def _missing_members(replica: Replica, initial_members: tuple[Address, ...], index: int) -> list[Address]:
    """The initial members that are no voters, or have not acknowledged the entry at `index` to the leader."""
    state = replica.state
    configuration = state.configuration
    if configuration.is_joint or state.commit_index < state.log.configuration_index:
        return list(initial_members)
    acknowledged = {voter.address for voter in configuration.voters if _match_index(replica, voter.id) >= index}
    return [address for address in initial_members if address not in acknowledged]


def _match_index(replica: Replica, voter_id: int) -> int:
    if voter_id == replica.state.id:
        return replica.state.log.persisted_index
    progress = replica.replication.progress.get(voter_id)
    return progress.match_index if progress is not None else 0
