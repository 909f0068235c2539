"""Replica groups, membership and the shard map: decisions without I/O, with time as an argument."""
