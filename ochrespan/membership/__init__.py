"""SWIM membership with the refinements of Lifeguard: which processes of the fleet are alive.

State: the member table of a process, soft, in memory. `messages`, `member_table`, `gossip_queue` and `protocol` do no
I/O; `agent` owns the datagram socket and the clock. Imports: `ochrespan.common` and, in `agent` and `wire`,
`ochrespan.transport`.
"""
