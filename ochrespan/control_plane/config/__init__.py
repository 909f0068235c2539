"""The fleet's configuration: documents, their validation, commands, versions and history.

State: the configuration shard's state machine. Imports: `replication`, `ochrespan.transport` and `ochrespan.common`.
"""
