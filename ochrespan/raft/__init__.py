"""Raft replica groups without I/O: time and messages go in, messages, updates and committed entries come out.

`replica` is the entry point for one group, `multi_raft` for all groups of a process. `bootstrap` and
`bootstrap_protocol` form the groups of a new deployment, `joining` adds replicas to existing ones, `reconfiguration`
changes the voters of a group.

State: term, vote, log and membership of each group of a process, in memory; the caller makes it durable and sends the
messages. Source: Ongaro, "Consensus: Bridging Theory and Practice", with pre-vote, check-quorum, leadership transfer
and joint consensus. Imports: the standard library and `ochrespan.common`.
"""
