"""Which instance caches which prompt prefix: decided by the leader of the service's shard on request of routers.

State: placements that are not replicated yet at the leader, a cache of placements at the routers; both soft. The
replicated placements belong to `registry`. Imports: `registry`, `replication`, `ochrespan.transport` and
`ochrespan.common`.
"""
