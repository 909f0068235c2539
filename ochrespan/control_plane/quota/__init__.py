"""Token quotas of tenants, enforced over all routers: the leader of a shard grants tokens, routers spend them.

State: token buckets at the leader, unspent grants at the routers; both in memory only. Imports: `config`, `feed`,
`replication`, `ochrespan.transport` and `ochrespan.common`.
"""
