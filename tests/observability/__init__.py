"""Log lines and metrics."""
