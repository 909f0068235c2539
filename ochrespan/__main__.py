"""Entry point of `python -m ochrespan`: runs one front, or, with arguments, the command line (see `--help`)."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    if len(sys.argv) > 1:
        from .cli import main as command_line

        return command_line()
    # Block signals before the slow imports: they stay pending until the front has installed its handlers.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
    from .front import run  # without arguments, the command line is not loaded

    return run()


if __name__ == "__main__":
    sys.exit(main())
