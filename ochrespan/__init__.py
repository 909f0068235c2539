"""A broker between many teams' services and a shared pool of chunk servers."""

__version__ = "0.2.0"
