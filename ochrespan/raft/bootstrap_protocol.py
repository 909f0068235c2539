"""How initial members agree on one bootstrap: proposals, and how concurrent bootstraps are resolved.

In a first start two initial members may each send a `BootstrapProposal` before the other's arrives. An example with
initial members A, B and C, where A and B cannot reach each other for a moment: A assumes that B is late and proposes
A, C and a new id in B's place, B proposes B, C and a new id in A's place. C accepts the proposal that arrives first and
joins that cluster. The process of the other proposal is alone in a cluster of its own, whose id is computed from the
member ids and so differs. A process may leave a cluster whose logs have no entry, as it has acknowledged nothing.
These rules lead to a single cluster:

- A process with an entry in a log never leaves its cluster.
- A member of a cluster without entries sends its proposal to all voters again at each query, also to those in another
  cluster. A receiver without entries that has entered no term (so it has voted for nobody), and that is named under its
  current id, switches to the proposal that ranks first: proposals of senders that have voted rank before those of
  senders that haven't, then the lower cluster id ranks first. The order is the same for all processes, so none
  alternates between two proposals.
- A process in another cluster with committed entries responds to `JoinRequest` and `BootstrapProposal` with a
  `JoinResponse` that says so (`has_commits`). A receiver without entries abandons its own bootstrap: it gets a new
  id and empty replicas, and asks to join.
- A bootstrap without progress is abandoned as `Bootstrap.check_stalled` decides: for example, if a new id stands
  in for a late member, so that no process responds under it, and one of the other voters was lost.

Two clusters with entries arise if an initial member that has lost its disk forms groups with a late one as in a first
start, or if the other members of a bootstrap have lost their disks. `opening` ensures that at most one of the clusters
acknowledges commands. A process whose cluster has acknowledged no command leaves it

- when a process at the address of a seed says that its own cluster may have acknowledged commands (`ClusterInUse`);
- when all initial members are reachable, and it is alone in its cluster or a group has had no leader for long
  (`Bootstrap.check_stuck`).

All other messages of another cluster are ignored: two deployments may be configured with each other's addresses.
"""

from __future__ import annotations

import logging

from ochrespan.common.addresses import Address

from .bootstrap import BOOTSTRAP_QUERY_INTERVAL_S, QUERY_INTERVAL_S
from .cluster_messages import BootstrapProposal, ClusterInUse, JoinRequest, JoinResponse, cluster_id_of
from .envelope import PROCESS_GROUP, Envelope
from .joining import build_join_response, lacks_leader
from .local_groups import LocalGroups
from .membership_config import Member

log = logging.getLogger(__name__)


class BootstrapProtocol:
    """Sends and receives the proposals of a process, and abandons its bootstrap where another one prevails."""

    def __init__(self, local_groups: LocalGroups, now: float) -> None:
        self._local_groups = local_groups
        self.next_query_at = now
        self._reported_clusters: set[Address] = set()  # processes of other clusters that were logged already

    def schedule_query(self, now: float) -> None:
        """Sets the time of the next query: soon, while this initial member waits for the groups to be formed."""
        awaits_bootstrap = self._local_groups.bootstrap.awaits_bootstrap
        self.next_query_at = now + (BOOTSTRAP_QUERY_INTERVAL_S if awaits_bootstrap else QUERY_INTERVAL_S)

    def tick(self, now: float) -> None:
        """Proposes a bootstrap if that is allowed by now, and repeats one whose groups have no entry yet."""
        local_groups = self._local_groups
        is_member = not local_groups.bootstrap.is_unbootstrapped
        if (
            is_member
            and local_groups.has_acknowledged_nothing
            and local_groups.bootstrap.check_stuck(
                now, any(lacks_leader(now, replica) for replica in local_groups.replicas.values())
            )
        ):
            log.warning(
                "bootstrap abandoned: no commands to come replica=%d",
                local_groups.bootstrap.identity.replica_id,
            )
            local_groups.abandon_bootstrap(now)
        self.propose(now)
        if voters := self._voters_without_entries():
            self._announce(now, voters)

    def propose(self, now: float) -> None:
        """Forms the groups here and proposes them to the others, if the reports received allow it."""
        if proposal := self._local_groups.bootstrap.proposal(now):
            self._start_groups(now, proposal)
            self._announce(now, self._voters_without_entries())

    def receive_report(self, now: float, envelope: Envelope, message: JoinRequest | JoinResponse) -> None:
        """Stores a process's report about its disk."""
        self._local_groups.bootstrap.record_report(now, envelope.sender, envelope.address, message, envelope.cluster_id)

    def receive_proposal(self, now: float, message: BootstrapProposal) -> None:
        """Accepts the proposal of a process of this cluster, or of none, if this process is unbootstrapped."""
        if self._local_groups.bootstrap.accepts(message):
            self._start_groups(now, message)

    def receive_from_other_cluster(self, now: float, envelope: Envelope) -> None:
        """Handles the messages between processes of concurrent bootstraps; see the module's docstring."""
        local_groups = self._local_groups
        if not local_groups.has_acknowledged_nothing and not any(
            isinstance(message, ClusterInUse) for _, message in envelope.frames
        ):
            local_groups.send(envelope.address, envelope.sender, ClusterInUse())
        for group, message in envelope.frames:
            if group != PROCESS_GROUP:
                continue
            if isinstance(message, ClusterInUse) and self._yields_to(envelope.address):
                log.warning("bootstrap abandoned: a peer's cluster has commands peer=%s:%d", *envelope.address)
                local_groups.abandon_bootstrap(now)
                return
            if isinstance(message, JoinResponse) and message.has_commits and local_groups.has_no_entries:
                log.warning("bootstrap abandoned: a peer has committed entries peer=%s:%d", *envelope.address)
                local_groups.abandon_bootstrap(now)
                return
            if isinstance(message, BootstrapProposal) and self._prefers(message):
                self._start_groups(now, message)
                return
            if isinstance(message, JoinRequest | JoinResponse):
                self.receive_report(now, envelope, message)
            if isinstance(message, JoinRequest | BootstrapProposal) and local_groups.has_commits:
                local_groups.send(envelope.address, 0, build_join_response(local_groups, now, ()))
        # Logged once per peer; messages of the types handled above were processed, all others are ignored
        if envelope.address not in self._reported_clusters:
            self._reported_clusters.add(envelope.address)
            log.warning(
                "message of another cluster ignored peer=%s:%d cluster=%d own_cluster=%d",
                *envelope.address,
                envelope.cluster_id,
                local_groups.bootstrap.identity.cluster_id,
            )

    def _yields_to(self, address: Address) -> bool:
        """Whether this process leaves its cluster in favour of that of the process at `address`, which is in use."""
        bootstrap = self._local_groups.bootstrap
        seeds = {*bootstrap.identity.initial_members, *bootstrap.settings.seeds}
        return self._local_groups.has_acknowledged_nothing and address in seeds

    def _prefers(self, message: BootstrapProposal) -> bool:
        """Whether the proposed bootstrap of another cluster ranks before this process's own and replaces it."""
        local_groups = self._local_groups
        own_id = local_groups.bootstrap.identity.replica_id
        if (
            not local_groups.has_no_entries
            or local_groups.has_voted
            or all(member.id != own_id for member in message.members)
        ):
            return False
        return (not message.has_voted, cluster_id_of(message.members)) < (
            True,
            local_groups.bootstrap.identity.cluster_id,
        )

    def _voters_without_entries(self) -> tuple[Member, ...]:
        """The initial voters, as long as their groups have no entry here; else none."""
        local_groups = self._local_groups
        if local_groups.bootstrap.is_unbootstrapped or not local_groups.has_no_entries:
            return ()
        return next(iter(local_groups.replicas.values())).state.configuration.voters

    def _announce(self, now: float, voters: tuple[Member, ...]) -> None:
        """Sends the bootstrap to its voters, or abandons it if it has stalled.

        Until there is an entry, a voter may not have received the proposal, or may have joined a concurrent bootstrap.
        """
        local_groups = self._local_groups
        if local_groups.bootstrap.check_stalled(now, voters):
            log.warning("bootstrap abandoned: no progress replica=%d", local_groups.bootstrap.identity.replica_id)
            local_groups.abandon_bootstrap(now)
            self.next_query_at = now
            return
        message = BootstrapProposal(voters, local_groups.has_voted)
        for member in voters:
            local_groups.send(member.address, 0, message)

    def _start_groups(self, now: float, message: BootstrapProposal) -> None:
        """Begins every group with the proposed voters."""
        local_groups = self._local_groups
        configuration = local_groups.bootstrap.accept(now, message)
        for replica in local_groups.replicas.values():
            replica.bootstrap(now, configuration)
        replica_id = local_groups.bootstrap.identity.replica_id
        log.info("bootstrap completed replica=%d voters=%d", replica_id, len(configuration.voters))
