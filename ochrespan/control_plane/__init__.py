"""Configuration, registry of instances, change feed, quotas and prefix placement: what controllers serve.

State: one state machine a shard (`control_state`), replicated by `replication`; `controller` connects the parts of a
controller, and `errors` has the base of the errors.

Sub-packages import each other in one direction only: `replication` <- `config`, `registry` <- `prefix_placement`,
`feed` <- `quota` <- `api`. Imports: `ochrespan.raft`, `ochrespan.membership`, `ochrespan.storage`,
`ochrespan.transport`, `ochrespan.observability` and `ochrespan.common`.
"""
