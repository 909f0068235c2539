"""Real controllers and routers on loopback addresses, with faults of processes, machines and links."""
