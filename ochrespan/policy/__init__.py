"""Decisions, shared by the present front and the router: LexAS gating, ARR's pick, latency-led windows."""
