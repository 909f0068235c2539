"""The replica host, its disk and its leadership."""
