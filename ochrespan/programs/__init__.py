"""The fleet's programs: settings, wiring and signals."""
