"""Durable state in two snapshot slots and a short log, over a small file interface."""
