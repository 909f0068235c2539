"""Forwards each request of the control interface to the leader of its shard, in this process or at another controller.

Every request is idempotent: the state machines recognise a repeated configuration command by its digest and a repeated
instance report by its sequence number. So a request whose connection to the leader failed is retried until its time-out
and only then gets a 503, which says that its outcome is unknown.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from math import inf
from time import monotonic
from typing import Any

import gevent

from ochrespan.common.addresses import format_address
from ochrespan.control_plane.config.commands import ConfigCommand, RestoreCommand
from ochrespan.control_plane.config.owner import (
    ConfigurationOwner,
    ReadBackup,
    ReadConfiguration,
    ReadHistory,
    command_timeout_s,
)
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


RETRY_INTERVAL_S = 0.04
NO_QUORUM_S = 1.5  # longer than a leader remains one without a quorum, and than most elections take


class ControlService:
    """Passes requests of servers and operators to the leader of their shard and returns its response."""

    def __init__(
        self,
        groups: ReplicaGroups,
        configuration_owner: ConfigurationOwner,
        instance_owner: InstanceOwner,
        instance_state_machines: Mapping[int, InstanceStateMachine],
        peers: PeerClients,
    ) -> None:
        self._groups = groups
        self._instance_state_machines = instance_state_machines
        self._peers = peers
        self._handlers: dict[type, Callable[[Any], Response]] = {
            ConfigCommand: configuration_owner.submit,
            ReadConfiguration: configuration_owner.read,
            ReadHistory: configuration_owner.history,
            RestoreCommand: configuration_owner.submit,
            ReadBackup: configuration_owner.backup,
            InstanceReport: instance_owner.report,
            InstanceEnded: instance_owner.remove,
        }

    def register(self, call_server: RpcServer) -> None:
        """Registers the handler of requests that other controllers forward to this one."""
        for request_type in self._handlers:
            call_server.on_request(request_type, self._handle_forwarded_request)

    def submit(self, command: ConfigCommand | RestoreCommand) -> Response:
        """Submits a configuration command; large commands have a longer time-out."""
        return self._forward_to_leader(CONFIG_SHARD, command, command_timeout_s(command))

    def read_configuration(self) -> Response:
        """The newest configuration, confirmed by a majority."""
        return self._forward_to_leader(CONFIG_SHARD, ReadConfiguration(), CALL_TIMEOUT_S)

    def read_history(self) -> Response:
        """The latest changes of the configuration, confirmed by a majority."""
        return self._forward_to_leader(CONFIG_SHARD, ReadHistory(), CALL_TIMEOUT_S)

    def read_backup(self) -> Response:
        """The newest configuration and the accepted commands, confirmed by a majority."""
        return self._forward_to_leader(CONFIG_SHARD, ReadBackup(), CALL_TIMEOUT_S)

    def cluster_name(self) -> str:
        """The name of the cluster that this controller belongs to; empty if none, or if it may still leave it."""
        return cluster_name(self._groups.cluster())

    def decline_leadership(self, duration_s: float) -> Response:
        """Transfers leadership of all shards, and declines it for `duration_s` seconds; 0 ends an earlier request."""
        self._groups.decline_leadership(duration_s)
        return json_response(OK, {"declines_leadership_for_s": duration_s})

    def proceed_without_missing_members(self) -> Response:
        """Lets this controller accept commands without the missing initial members, as an operator has confirmed."""
        missing = [format_address(address) for address in self._groups.missing_initial_members()]
        self._groups.proceed_without_missing()
        log.warning("operator proceeds without initial members missing=%s", ",".join(missing) or "none")
        return json_response(OK, {"missing_initial_members": missing})

    def report_instance(self, record: InstanceRecord) -> Response:
        """Registers or updates an instance, or records its heartbeat."""
        shard = shard_of(record.backend)
        return self._forward_to_leader(shard, InstanceReport(shard, record_fields(record)), CALL_TIMEOUT_S)

    def remove_instance(self, instance_id: str) -> Response:
        """Removes an instance that has ended.

        The request names no service, so the shard is looked up in this controller's replicas. As they may lag behind,
        an instance that none of them contains is removed from every shard.

        Returns:
            The first response that is not a success, or else a success.
        """
        known_shards = [
            shard for shard, machine in self._instance_state_machines.items() if instance_id in machine.records
        ]
        calls = [
            gevent.spawn(self._forward_to_leader, shard, InstanceEnded(shard, instance_id), CALL_TIMEOUT_S)
            for shard in known_shards or self._instance_state_machines
        ]
        for call in calls:
            call.name = f"remove-instance-{instance_id}"
        responses: list[Response] = [call.get() for call in calls]
        failures = [response for response in responses if response.status != OK]
        return failures[0] if failures else json_response(OK, {})

    def _handle_forwarded_request(self, request: Any) -> Response | NotLeaderResponse:
        """Handles a forwarded request only if this process leads: forwarding it again could loop during an election."""
        try:
            return self._handlers[type(request)](request)
        except NotLeaderError:
            return NotLeaderResponse()

    def _forward_to_leader(self, shard: int, request: Any, timeout_s: float) -> Response:
        """Returns the leader's response; a 503 if there was none within the time-out or this process lost the quorum.

        A request whose connection broke may have been handled and only its response lost. A retry is safe.
        """
        deadline = monotonic() + timeout_s
        reason = "no leader"
        while (remaining_s := deadline - monotonic()) > 0:
            try:
                response = self._try_leader(shard, request, remaining_s)
            except RpcError as error:
                response = None
                reason = str(error)
            if response is not None:
                return response
            if self._has_lost_quorum(shard):
                reason = "no majority in reach"
                break
            gevent.sleep(RETRY_INTERVAL_S)
        log.info("command outcome unknown shard=%d reason=%r", shard, reason)
        return unavailable_response(f"shard {shard}", reason)

    def _has_lost_quorum(self, shard: int) -> bool:
        """Whether this process has been without a quorum for NO_QUORUM_S: the caller should try another controller.

        After a start the age is infinite. Then the result is False: the first election may end at any moment, so the
        request is retried.
        """
        age_s = self._groups.seconds_since_quorum(shard)
        return NO_QUORUM_S < age_s < inf and self._groups.leader(shard) is None

    def _try_leader(self, shard: int, request: Any, timeout_s: float) -> Response | None:
        """Sends a request to the leader that this process knows of now, or handles it here if this process leads.

        Returns:
            The response; None if no leader is known or the supposed leader has lost its leadership.

        Raises:
            RpcError: The leader could not be reached, or did not respond in time.
        """
        try:
            if self._groups.is_leader(shard):
                return self._handlers[type(request)](request)
            leader = self._groups.leader(shard)
            if leader is None:
                return None
            reply = self._peers.call(leader, request, timeout_s)
        except NotLeaderError:
            return None
        return reply if isinstance(reply, Response) else None
