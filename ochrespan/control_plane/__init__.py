"""Configuration, instances, the operator's API and the change feed."""
