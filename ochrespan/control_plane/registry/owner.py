"""The owner of an instance shard: its leader, which acknowledges heartbeats and expires instances without them.

A heartbeat that does not change the record is not replicated but only recorded at the leader. A new leader therefore
gives every instance the full time-out before it expires any.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from time import monotonic
from typing import Any

import gevent

from ochrespan.control_plane.replication.errors import NotLeaderError, OutcomeUnknownError
from ochrespan.control_plane.replication.groups import CALL_TIMEOUT_S, LEASE_DURATION_S, ReplicaGroups
from ochrespan.control_plane.responses import OK, Response, json_response, unavailable_response
from ochrespan.transport.codec import encode, message

from .commands import ExpireInstances, RegisterInstance, RemoveInstance
from .heartbeats import HeartbeatMonitor, heartbeat_timeout_s
from .records import InstanceRecord, record_fields, record_from_fields
from .state_machine import InstanceStateMachine

log = logging.getLogger(__name__)

EXPIRY_INTERVAL_S = 0.5  # shorter than MAX_CHECK_GAP_S of the monitors


@message("cp.report")
@dataclass(slots=True)
class InstanceReport:
    """A server's report, which is also its heartbeat; `record` holds the fields of its `InstanceRecord`."""

    shard: int
    record: dict[str, Any]


@message("cp.ended")
@dataclass(slots=True)
class InstanceEnded:
    """A server's notification that its incarnation `id` has ended."""

    shard: int
    id: str


class InstanceOwner:
    """Handles the reports of servers in the process that leads the shard of their service.

    `report` and `remove` raise NotLeaderError if this process does not lead the shard: the caller then forwards the
    request to the leader.
    """

    def __init__(self, groups: ReplicaGroups, machines: Mapping[int, InstanceStateMachine], heartbeat_s: float) -> None:
        self._groups = groups
        self._state_machines = machines
        self._monitors = {shard: HeartbeatMonitor(heartbeat_timeout_s(heartbeat_s)) for shard in machines}

    def leadership_changed(self, shard: int, is_leader: bool) -> None:
        """Starts or stops the heartbeat monitor of a shard whose leadership this process gained or lost."""
        if shard not in self._monitors:
            return
        if is_leader:
            self._monitors[shard].start(monotonic())
        else:
            self._monitors[shard].stop()

    def report(self, report: InstanceReport) -> Response:
        """Acknowledges a report: at once if it changes nothing, otherwise after the changed record is committed."""
        shard = report.shard
        record = record_from_fields(report.record)
        self._require_leadership(shard)
        self._monitors[shard].record(record.id, record.sequence, monotonic())
        if not _is_change(self._state_machines[shard], record):
            return self._acknowledge_uncommitted(shard)
        return self._commit(shard, RegisterInstance(record_fields(record)))

    def remove(self, request: InstanceEnded) -> Response:
        """Acknowledges the end of an instance after its removal is committed."""
        shard = request.shard
        self._require_leadership(shard)
        if self._state_machines[shard].is_removed(request.id):
            return self._acknowledge_uncommitted(shard)
        response = self._commit(shard, RemoveInstance(request.id))
        if response.status == OK:
            self._monitors[shard].forget(request.id)
        return response

    def run(self) -> None:
        """Expires instances until the greenlet is killed.

        Each shard's command runs in a greenlet of its own: a shard without a majority must not delay the checks of the
        others, since a delay above MAX_CHECK_GAP_S restarts all time-outs.
        """
        while True:
            gevent.sleep(EXPIRY_INTERVAL_S)
            for shard in self._monitors:
                if expired := self.find_expired(shard, monotonic()):
                    gevent.spawn(self._expire, shard, expired)

    def find_expired(self, shard: int, now: float) -> list[str]:
        """Returns the instances to expire in a shard; none if this process does not lead it."""
        expired = self._monitors[shard].check_expired(self._state_machines[shard].records, now)
        return expired if expired and self._groups.is_leader(shard) else []

    def _expire(self, shard: int, expired: list[str]) -> None:
        """Proposes an expiry, with sequence numbers: an instance that reports before the commitment does not expire."""
        records = self._state_machines[shard].records
        sequences = {each: records[each].sequence for each in expired if each in records}
        try:
            change = self._groups.propose(shard, encode(ExpireInstances(sequences)), CALL_TIMEOUT_S)
        except (OutcomeUnknownError, NotLeaderError) as error:
            log.info("instance expiry undecided shard=%d error=%r", shard, str(error))
            return  # the next check proposes it again
        for instance_id in change.removed:
            self._monitors[shard].forget(instance_id)
        log.info("instances expired shard=%d instances=%s", shard, ",".join(change.removed))

    def _commit(self, shard: int, command: RegisterInstance | RemoveInstance) -> Response:
        """Proposes a command and acknowledges the server's request once the command is applied.

        After a time-out or loss of leadership the outcome is unknown, and the response is a 503. The server then
        retries, which is safe: a record whose sequence number was applied before changes nothing.
        """
        try:
            self._groups.propose(shard, encode(command), CALL_TIMEOUT_S)
        except OutcomeUnknownError as error:
            return unavailable_response("instance", str(error) or "no commitment in time")
        return json_response(OK, {})

    def _require_leadership(self, shard: int) -> None:
        if not self._groups.is_leader(shard):
            raise NotLeaderError(self._groups.leader(shard))

    def _acknowledge_uncommitted(self, shard: int) -> Response:
        """Acknowledges a request that changes nothing, provided that a majority still follows this leader.

        Without the check, a leader that was replaced without its knowledge would acknowledge heartbeats that the new
        leader never receives.
        """
        if self._groups.lease_age_s(shard) > LEASE_DURATION_S:
            return unavailable_response("instance", "no majority")
        return json_response(OK, {})


def _is_change(machine: InstanceStateMachine, record: InstanceRecord) -> bool:
    known = machine.records.get(record.id)
    if known is not None and known.equals_ignoring_time(record):
        return False
    return machine.accepts(record)
