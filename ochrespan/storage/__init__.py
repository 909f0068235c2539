"""Durable state of a controller: two checkpoint slots written in turn, and a log of records after each.

State: the slot and log files of a data folder. Imports: the standard library alone.
"""
