"""The control interface."""
