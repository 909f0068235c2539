"""The control plane, a folder for each of its packages."""
