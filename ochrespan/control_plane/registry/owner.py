"""The leader's side of an instance shard: acknowledges heartbeats and expires silent instances."""

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

EXPIRY_INTERVAL_S = 0.5


@message("cp.report")
@dataclass(slots=True)
class InstanceReport:
    """A server's report of itself."""

    shard: int
    record: dict[str, Any]


@message("cp.ended")
@dataclass(slots=True)
class InstanceEnded:
    """A server's word that it has ended."""

    shard: int
    id: str


class InstanceOwner:
    """Answers servers where this process leads the shard of their service; raises NotLeaderError elsewhere."""

    def __init__(self, groups: ReplicaGroups, machines: Mapping[int, InstanceStateMachine], heartbeat_s: float) -> None:
        self._groups = groups
        self._machines = machines
        self._watches = {shard: HeartbeatMonitor(heartbeat_timeout_s(heartbeat_s)) for shard in machines}

    def leadership_changed(self, shard: int, is_leader: bool) -> None:
        """To be called when this process begins or ceases to lead a shard."""
        if shard not in self._watches:
            return
        if is_leader:
            self._watches[shard].begin(monotonic())
        else:
            self._watches[shard].end()

    def report(self, report: InstanceReport) -> Response:
        """Acknowledges a report: a mere heartbeat at once, a change after its commitment."""
        shard, record = report.shard, record_from_fields(report.record)
        self._require_leadership(shard)
        machine, watch = self._machines[shard], self._watches[shard]
        watch.heard(record.id, record.sequence, monotonic())
        if not _is_change(machine, record):
            return self._soft_acknowledgement(shard)
        try:
            self._groups.propose(shard, encode(RegisterInstance(record_fields(record))), CALL_TIMEOUT_S)
        except OutcomeUnknownError as error:
            return unavailable_response("instance", str(error) or "no commitment in time")
        return json_response(OK, {})

    def ended(self, request: InstanceEnded) -> Response:
        """Acknowledges the end of an instance after its commitment."""
        self._require_leadership(request.shard)
        if self._machines[request.shard].is_gone(request.id):
            return self._soft_acknowledgement(request.shard)
        try:
            self._groups.propose(request.shard, encode(RemoveInstance(request.id)), CALL_TIMEOUT_S)
        except OutcomeUnknownError as error:
            return unavailable_response("instance", str(error) or "no commitment in time")
        self._watches[request.shard].forget(request.id)
        return json_response(OK, {})

    def watch(self) -> None:
        """Expires silent instances until the greenlet is killed."""
        while True:
            gevent.sleep(EXPIRY_INTERVAL_S)
            for shard in self._watches:
                if silent := self.find_expired(shard, monotonic()):
                    gevent.spawn(self._expire, shard, silent)

    def find_expired(self, shard: int, now: float) -> list[str]:
        """Instances of a shard that this process leads and that were silent for too long."""
        silent = self._watches[shard].expired(self._machines[shard].records, now)
        return silent if silent and self._groups.is_leader(shard) else []

    def _expire(self, shard: int, silent: list[str]) -> None:
        records = self._machines[shard].records
        sequences = {each: records[each].sequence for each in silent if each in records}
        try:
            change = self._groups.propose(shard, encode(ExpireInstances(sequences)), CALL_TIMEOUT_S)
        except (OutcomeUnknownError, NotLeaderError) as error:
            log.info("expiry undecided shard=%d error=%r", shard, str(error))
            return
        for instance_id in change.removed:
            self._watches[shard].forget(instance_id)
        log.info("instances expired shard=%d ids=%s", shard, ",".join(change.removed))

    def _require_leadership(self, shard: int) -> None:
        if not self._groups.is_leader(shard):
            raise NotLeaderError(self._groups.leader(shard))

    def _soft_acknowledgement(self, shard: int) -> Response:
        if self._groups.lease_age_s(shard) > LEASE_DURATION_S:
            return unavailable_response("instance", "no majority")
        return json_response(OK, {})


def _is_change(machine: InstanceStateMachine, record: InstanceRecord) -> bool:
    known = machine.records.get(record.id)
    if known is not None and known.same_apart_from_time(record):
        return False
    return machine.accepts(record)
