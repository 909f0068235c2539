"""Code shared by all packages: network addresses, and the validation of documents and settings.

State: none. Imports: the standard library alone.
"""
