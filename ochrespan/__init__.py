"""ochrespan: the decisions of a host-side scheduler for a shared disk pool."""
