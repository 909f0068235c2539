"""Controller, settings and command line."""
