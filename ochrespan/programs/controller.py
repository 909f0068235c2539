"""Starts a controller; imports the rest of it only once a SIGHUP no longer ends the process."""

from __future__ import annotations

import sys

from .reload_signal import ignore_until_handled


def main() -> int:
    """Runs a controller until SIGTERM; the exit status is that of `controller_process.run`."""
    ignore_until_handled()
    from .controller_process import run  # after the signal is ignored: this import takes most of the start-up time

    return run()


if __name__ == "__main__":
    sys.exit(main())
