"""SIGHUP during the start of a program, which would end the process by default."""

from __future__ import annotations

import signal


def ignore_until_handled() -> None:
    """Ignores SIGHUP until the program installs its handler: the settings are read after that is possible anyway."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
