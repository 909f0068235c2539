"""S3-compatible object API. Objects are stored as chunks; each chunk access is a request scheduled by the front."""
