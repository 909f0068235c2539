"""The change feed from controllers to routers: a snapshot of each shard, then its changes.

State: the recent changes of each shard at a controller, the table at a router; both soft. Imports: `config`,
`registry`, `replication`, `ochrespan.transport` and `ochrespan.common`.
"""
