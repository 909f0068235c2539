"""Raft groups: pure tests, simulations and a search over schedules."""
