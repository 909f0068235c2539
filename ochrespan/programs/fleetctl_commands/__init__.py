"""Parts of `fleetctl`: the client of the control interface, reports, and the commands `backup` and `restore`.

State: none. Imports: `ochrespan.control_plane`, `ochrespan.common`, and the settings and errors of the programs.
"""
