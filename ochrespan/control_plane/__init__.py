"""Configuration, registry of instances, change feed, quotas and prefix placement: what controllers serve.

State: one state machine a shard, replicated by `replication`. Sub-packages import each other in one direction only:
`replication` <- `config`, `registry` <- `prefix_placement`, `feed` <- `quota` <- `api`. Imports: `ochrespan.raft`,
`ochrespan.membership`, `ochrespan.storage`, `ochrespan.transport`, `ochrespan.observability` and `ochrespan.common`.
"""
