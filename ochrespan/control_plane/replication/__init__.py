"""Drives `ochrespan.raft` with a clock, connections and a disk, and applies committed entries to the state machines.

`host.ReplicaHost` is what the control plane uses (as `groups.ReplicaGroups`); `recovery` reads the disk at the start,
`running_replicas` runs the loops after recovery, `disk_writer` persists records, `applier` applies committed entries,
and `raft_wire` and `persistent_records` encode messages and records.

State: the replicas of all shards of a process and their data folder. Imports: `ochrespan.raft`, `ochrespan.storage`,
`ochrespan.transport`, `ochrespan.common`, and `errors` and `shards` of the control plane.
"""
