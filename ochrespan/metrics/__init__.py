"""Export of metrics to Graphite and collectd. Disabled without the operator's file."""
