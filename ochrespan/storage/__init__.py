"""Durable state of a controller: two snapshot slots written in turn, and a log of records behind each.

State: the slot and log files of a data folder. Imports: the standard library alone.
"""
