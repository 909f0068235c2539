"""The change feed from controllers to routers: a snapshot of each shard, followed by its changes.

State: the recent changes of each shard, and the live routers, at a controller; the table at a router; all in
memory only. Imports: `config`, `registry`, `replication`, `ochrespan.transport` and `ochrespan.common`.
"""
