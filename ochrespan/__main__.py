"""Run as `python -m ochrespan`: one front. With words behind it, the command line: see `--help`."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    if len(sys.argv) > 1:
        from .cli import main as command_line

        return command_line()
    # before all else is loaded, which takes a while: what is asked meanwhile is heard once the front can act on it
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
    from .front import run  # a platform's front need not build the tree of commands

    return run()


if __name__ == "__main__":
    sys.exit(main())
