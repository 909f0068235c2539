"""Deterministic simulation of the core (the replicated control state): machines, disks and network in virtual time."""
