"""The HTTP control interface of a controller, and forwarding of its requests to the leader of a shard.

`handlers` parses and validates HTTP requests; `forwarding` has them handled by the leader of their shard.

State: none beyond requests in flight. Imports: `config`, `registry`, `replication`, `ochrespan.observability`,
`ochrespan.transport` and `ochrespan.common`.
"""
