"""How a replica without a leader asks to be added to its groups as a learner, and the response that it gets."""

from __future__ import annotations

from collections.abc import Iterable

from ochrespan.common.addresses import Address

from .cluster_messages import JoinRequest, JoinResponse
from .envelope import Envelope
from .local_groups import LocalGroups
from .membership_config import Member
from .replica import Replica
from .state import Role

LEADER_TIMEOUT_S = 0.5  # a replica that has had no contact with a leader for this long asks to be added


class JoinProtocol:
    """Sends join requests to all known processes, and answers those of others."""

    def __init__(self, local_groups: LocalGroups, contacts: Iterable[Address]) -> None:
        self._local_groups = local_groups
        self.contacts: set[Address] = set(contacts)  # processes that may know the groups

    def send_requests(self, now: float) -> None:
        """Asks every known process to add the replicas that have no leader.

        Until the cluster may have acknowledged a command, it sends requests even if all replicas have a leader, so that
        the initial members know of each other.
        """
        request = build_join_request(self._local_groups, now, every_group=False)
        if request.groups or self._local_groups.has_acknowledged_nothing:
            for address in sorted(self.contacts | {member.address for member in self._local_groups.members()}):
                self._local_groups.send(address, 0, request)

    def receive_request(self, now: float, envelope: Envelope, request: JoinRequest) -> None:
        """Adds the sender as a learner to groups that are led here, and responds with further processes to contact."""
        local_groups = self._local_groups
        contacts: set[Address] = set()
        if not local_groups.bootstrap.is_unbootstrapped:
            member = Member(envelope.sender, envelope.address)
            for group in request.groups:
                if replica := local_groups.replicas.get(group):
                    replica.join(now, member)
                    contacts.update(member.address for member in replica.state.configuration.members().values())
        contacts.discard(envelope.address)
        local_groups.send(
            envelope.address, envelope.sender, build_join_response(local_groups, now, tuple(sorted(contacts)))
        )

    def receive_response(self, response: JoinResponse) -> None:
        """Adds the processes that a response names to the contacts."""
        self.contacts.update(response.contacts)


def build_join_request(local_groups: LocalGroups, now: float, *, every_group: bool) -> JoinRequest:
    """A request for all groups, or for those whose replica here has no leader."""
    bootstrap = local_groups.bootstrap
    return JoinRequest(
        [group for group, replica in local_groups.replicas.items() if every_group or lacks_leader(now, replica)],
        bootstrap.is_unbootstrapped,
        local_groups.has_no_entries,
        bootstrap.identity.initial_members,
        bootstrap.first_start_age(now),
    )


def build_join_response(local_groups: LocalGroups, now: float, contacts: tuple[Address, ...]) -> JoinResponse:
    """A response that names `contacts` and reports the state of this disk."""
    bootstrap = local_groups.bootstrap
    return JoinResponse(
        bootstrap.is_unbootstrapped,
        contacts,
        local_groups.has_no_entries,
        bootstrap.identity.initial_members,
        bootstrap.first_start_age(now),
        local_groups.has_commits,
    )


def lacks_leader(now: float, replica: Replica) -> bool:
    """Whether a replica does not lead and has had no contact with a leader for LEADER_TIMEOUT_S."""
    state = replica.state
    return state.role is not Role.LEADER and now - state.last_leader_contact_at > LEADER_TIMEOUT_S
