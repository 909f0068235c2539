"""Drives `ochrespan.raft` with a clock, connections and a disk, and applies committed entries to the state machines.

State: the replicas of all shards of a process and their data folder. Imports: `ochrespan.raft`, `ochrespan.storage`,
`ochrespan.transport` and `ochrespan.common`.
"""
