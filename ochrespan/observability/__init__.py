"""Log lines in `key=value` form and metrics in the text format of Prometheus.

State: the counters of a process, and the token buckets that limit the rate of its log lines. Imports: the standard
library alone.
"""
