"""Figures for Graphite and collectd, each by its published protocol. Off without the operator's file."""
