"""Log lines in `key=value` form and metrics in the text format of Prometheus.

State: the counters of a process, and the allowance of each log line's rate limit. Imports: the standard library alone.
"""
