"""Slots and logs on faulty disks."""
