"""SWIM membership."""
