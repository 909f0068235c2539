"""The services of controllers: configuration, registry of instances, change feed, quotas and prefix placement.

State: one state machine per shard (`control_state`), replicated by `replication`. `controller` connects the components
of a controller; `errors` defines the base of all errors.

Sub-packages import each other in one direction only: `replication` <- `config`, `registry` <- `prefix_placement`,
`feed` <- `quota` <- `api`. Imports: `ochrespan.raft`, `ochrespan.membership`, `ochrespan.storage`,
`ochrespan.transport`, `ochrespan.observability` and `ochrespan.common`.
"""
