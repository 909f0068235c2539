"""Raft replica groups without I/O: time and messages go in, messages, writes and committed entries come out.

State: term, vote, log and membership of each group of a process, in memory; the caller makes it durable and sends the
messages. Source: Ongaro, "Consensus: Bridging Theory and Practice", with pre-vote, check-quorum, leadership transfer
and joint consensus. Imports: the standard library and `ochrespan.common`.
"""
