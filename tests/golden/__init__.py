"""Golden tests: what the fleet's programs show to the outside, written down before the code is restructured.

The recorded data hold no name of a Python class or module. To record an intended change of the outside, run pytest on
this folder with `--snapshot-update` and read the difference of `__snapshots__`.
"""
