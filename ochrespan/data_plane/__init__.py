"""Routing, admission, placement and the relay of requests and streams."""
