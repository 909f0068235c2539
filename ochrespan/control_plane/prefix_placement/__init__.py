"""Placement of prompt prefixes on instances, decided by the leader of the service's shard at the request of routers.

State: placements not yet replicated at the leader, cached placements at the routers; both in memory only. The
replicated placements belong to `registry`. Imports: `registry`, `replication`, `ochrespan.transport` and
`ochrespan.common`.
"""
