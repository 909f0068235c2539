"""The commands of `fleetctl`, their reports and the client of the control interface.

State: none. Imports: `ochrespan.control_plane`, `ochrespan.transport` and `ochrespan.common`.
"""
