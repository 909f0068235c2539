"""Fakes, simulated worlds and process helpers that several tests share."""
