"""The HTTP control interface of a controller, and the forwarding of its requests to shard leaders.

`handlers` parses and validates HTTP requests; `forwarding` passes each to the leader of its shard.

State: none beyond requests in flight. Imports: `config`, `registry`, `replication`, `ochrespan.observability`,
`ochrespan.transport` and `ochrespan.common`.
"""
