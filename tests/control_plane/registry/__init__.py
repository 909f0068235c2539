"""The registry of instances."""
