"""Typed messages between the processes of the fleet, over TCP and UDP on gevent."""
