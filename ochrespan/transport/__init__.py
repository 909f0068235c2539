"""Typed messages over TCP, UDP and TLS, and request-response calls between processes.

State: open connections and calls in flight. Imports: `ochrespan.common`.
"""
