"""The programs of the fleet: controller, router and the operators' command line.

State: settings. Imports: every package of the fleet; no package imports this one.
"""
