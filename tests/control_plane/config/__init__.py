"""Configuration and its commands."""
