"""Token quotas."""
