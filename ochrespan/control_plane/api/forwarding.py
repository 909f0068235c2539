"""Carries a call of the control interface to the leader of its shard, here or at another controller.

Every call may be repeated: an order is known by its digest and a report by its sequence number. So a call whose way to
the leader broke is sent again until its time is up, and only then answered without a verdict.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from math import inf
from time import monotonic
from typing import Any

import gevent

from ochrespan.control_plane.config.commands import ConfigCommand
from ochrespan.control_plane.config.owner import ConfigurationOwner, ReadConfiguration, ReadHistory, command_timeout_s
from ochrespan.control_plane.registry.owner import InstanceEnded, InstanceOwner, InstanceReport
from ochrespan.control_plane.registry.records import InstanceRecord, record_fields
from ochrespan.control_plane.registry.state_machine import InstanceStateMachine
from ochrespan.control_plane.replication.errors import NotLeaderError
from ochrespan.control_plane.replication.groups import CALL_TIMEOUT_S, ReplicaGroups, cluster_name
from ochrespan.control_plane.responses import OK, NotLeaderResponse, Response, json_response, unavailable_response
from ochrespan.control_plane.shards import CONFIG_SHARD, shard_of
from ochrespan.transport.peer_clients import PeerClients
from ochrespan.transport.rpc import RpcError, RpcServer

log = logging.getLogger(__name__)


RETRY_PAUSE_S = 0.04
NO_QUORUM_S = 1.5  # longer than a leader may be without one, and than most elections take


class ControlService:
    """The calls of servers and of the operator, as typed requests."""

    def __init__(
        self,
        groups: ReplicaGroups,
        configuration_owner: ConfigurationOwner,
        instance_owner: InstanceOwner,
        instance_machines: dict[int, InstanceStateMachine],
        peers: PeerClients,
    ) -> None:
        self._groups = groups
        self._machines = instance_machines
        self._peers = peers
        self._handlers: dict[type, Callable[[Any], Response]] = {
            ConfigCommand: configuration_owner.submit,
            ReadConfiguration: configuration_owner.read,
            ReadHistory: configuration_owner.history,
            InstanceReport: instance_owner.report,
            InstanceEnded: instance_owner.remove,
        }

    def register(self, call_server: RpcServer) -> None:
        """Answers the calls that other controllers pass on."""
        for request_type in self._handlers:
            call_server.on_request(request_type, self._answer_passed_on)

    def order(self, order: ConfigCommand) -> Response:
        """Takes an order of the operator."""
        return self._at_leader(CONFIG_SHARD, order, command_timeout_s(order))

    def read_configuration(self) -> Response:
        """The newest configuration."""
        return self._at_leader(CONFIG_SHARD, ReadConfiguration(), CALL_TIMEOUT_S)

    def read_history(self) -> Response:
        """The latest changes of the configuration."""
        return self._at_leader(CONFIG_SHARD, ReadHistory(), CALL_TIMEOUT_S)

    def cluster_name(self) -> str:
        """The fleet that this controller belongs to; empty while it belongs to none."""
        return cluster_name(self._groups.cluster())

    def decline_leadership(self, span_s: float) -> Response:
        """This controller hands over what it leads, and leads nothing for so long; 0 ends that."""
        self._groups.decline_leadership(span_s)
        return json_response(OK, {"declines_leadership_for_s": span_s})

    def report(self, record: InstanceRecord) -> Response:
        """Takes a server's report of itself."""
        shard = shard_of(record.backend)
        return self._at_leader(shard, InstanceReport(shard, record_fields(record)), CALL_TIMEOUT_S)

    def ended(self, instance_id: str) -> Response:
        """Takes a server's word that it has ended; where no shard knows it here, every shard is asked."""
        known = [shard for shard, machine in self._machines.items() if instance_id in machine.records]
        calls = [
            gevent.spawn(self._at_leader, shard, InstanceEnded(shard, instance_id), CALL_TIMEOUT_S)
            for shard in known or self._machines
        ]
        answers = [call.get() for call in calls]
        refused = [answer for answer in answers if answer.status != OK]
        return refused[0] if refused else json_response(OK, {})

    def _answer_passed_on(self, request: Any) -> Any:
        try:
            return self._handlers[type(request)](request)
        except NotLeaderError:
            return NotLeaderResponse()

    def _at_leader(self, shard: int, request: Any, timeout: float) -> Response:
        deadline, failure = monotonic() + timeout, "no leader"
        while (remaining := deadline - monotonic()) > 0:
            try:
                answer = self._try_leader(shard, request, remaining)
            except RpcError as error:
                answer, failure = None, str(error)
            if answer is not None:
                return answer
            if self._is_cut_off(shard):
                failure = "no majority in reach"
                break
            gevent.sleep(RETRY_PAUSE_S)
        log.info("no verdict shard=%d reason=%r", shard, failure)
        return unavailable_response(f"shard {shard}", failure)

    def _is_cut_off(self, shard: int) -> bool:
        """Whether this process knew a majority and has lost it for long: the caller should go on to another at once."""
        age = self._groups.seconds_since_quorum(shard)
        return NO_QUORUM_S < age < inf and self._groups.leader(shard) is None

    def _try_leader(self, shard: int, request: Any, timeout: float) -> Response | None:
        """An answer, or None where there was no leader to give one; raises RpcError."""
        try:
            if self._groups.is_leader(shard):
                return self._handlers[type(request)](request)
            leader = self._groups.leader(shard)
            if leader is None:
                return None
            reply = self._peers.call(leader, request, timeout)
        except NotLeaderError:
            return None
        return reply if isinstance(reply, Response) else None
