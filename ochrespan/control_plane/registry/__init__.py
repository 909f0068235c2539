"""The registry of instances: records, heartbeats, expiry, slow start, and where prompt prefixes are cached.

State: the instance shards' state machines, and the heartbeats at the leader, in memory only. Imports: `config`,
`replication`, `ochrespan.transport` and `ochrespan.common`.
"""
