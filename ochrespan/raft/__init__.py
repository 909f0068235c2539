"""Raft replica groups without I/O: time and messages go in, messages, updates and committed entries come out.

`replica` is the entry point for one group, `multi_raft` for all groups of a process. State: term, vote, log and
membership of each group, in memory; the caller persists it and sends the messages.

Source: Ongaro, "Consensus: Bridging Theory and Practice", with pre-vote, check-quorum, leadership transfer and joint
consensus. Imports: the standard library and `ochrespan.common`.
"""
