"""The programs of the fleet: controller, router and the operators' command line `fleetctl`.

`process` runs a controller or a router; `settings` reads, validates and reloads the settings file of either. `router`
opens the listener for clients (`early_listener`) before it imports the rest of the program.

State: the settings in force. Imports: every package of the fleet; no package imports this one.
"""
