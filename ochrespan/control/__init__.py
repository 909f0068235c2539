"""The operators' address: readiness, figures, chunk servers taken out by hand, and drains of the front."""
