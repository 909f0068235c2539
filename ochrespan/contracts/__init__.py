"""Contracts: which requests a client may send and how many. Admission decisions only, without I/O or protocol code."""
