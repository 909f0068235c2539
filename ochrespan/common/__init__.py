"""What all packages share: network addresses, and the validation of documents and settings.

State: none. Imports: the standard library alone.
"""
