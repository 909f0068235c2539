"""Token quotas of tenants over all routers: the shard's leader grants tokens, routers spend them.

State: token buckets at the leader, unspent grants at the routers; both soft. Imports: `config`, `feed`, `replication`,
`ochrespan.transport` and `ochrespan.common`.
"""
