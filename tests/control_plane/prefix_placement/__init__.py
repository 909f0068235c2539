"""Placement of prompt prefixes."""
