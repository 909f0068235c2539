"""What every package shares: network addresses, and validation of documents and settings.

State: none. Imports: the standard library alone.
"""
