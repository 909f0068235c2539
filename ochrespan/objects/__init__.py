"""The object API: S3-shaped requests as chunks, each of which is one request of the core."""
