"""The router's data plane: routing, admission, scheduling, placement, and the relaying of requests and streams."""
