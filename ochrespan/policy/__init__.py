"""Scheduling algorithms that the HTTP front and the router share: LexAS, ARR and latency-based windows."""
