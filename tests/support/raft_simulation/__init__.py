"""Deterministic simulation of the whole core: replicas, disks and network of several machines under virtual time."""
