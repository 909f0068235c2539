"""What the controller and the router have in common as processes: signals, settings, start and stop.

SIGTERM and SIGINT stop the process, SIGHUP reloads its settings file, which is also polled for changes.
"""

from __future__ import annotations

import logging
import signal
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent.event import Event

from ochrespan.common.validation import ValidationError
from ochrespan.observability import logs

from .errors import ExitStatus
from .settings import Settings, SettingsFile, secure_peers, settings_path


class FleetProcess(Protocol):
    """A controller or a router, as `run_process` starts and stops it."""

    def start(self) -> None:
        """Opens the listeners and joins the fleet."""

    def stop(self) -> None:
        """Stops everything that `start` started, in bounded time."""

    def settings_changed(self, settings: Settings) -> None:
        """Applies those settings that may change while the process runs."""


def run_process(create: Callable[[Settings], FleetProcess], logger: logging.Logger) -> ExitStatus:
    """Runs a program until SIGTERM or SIGINT.

    The handlers of these signals are installed first: a signal that arrives while the program is created is not lost,
    and stops it right after its start.

    Args:
        create: creates the program from its settings; raises ValidationError for settings that it cannot use.
        logger: logs the findings in the settings.

    Returns:
        The exit status.
    """
    logs.configure()
    shutdown = Event()
    gevent.signal_handler(signal.SIGTERM, shutdown.set)
    gevent.signal_handler(signal.SIGINT, shutdown.set)
    try:
        settings_file = SettingsFile(settings_path())
        secure_peers(settings_file.current)
        process = create(settings_file.current)
    except ValidationError as error:
        _log_findings(error, logger)
        return ExitStatus.BAD_SETTINGS
    _run_until(shutdown, process, settings_file)
    return ExitStatus.OK


def _run_until(shutdown: Event, process: FleetProcess, settings_file: SettingsFile) -> None:
    settings_file.on_change = process.settings_changed
    gevent.signal_handler(signal.SIGHUP, settings_file.reload)
    process.start()
    settings_watch = gevent.spawn(settings_file.watch)
    settings_watch.name = "settings-watch"
    shutdown.wait()
    process.stop()
    settings_watch.kill(block=False)


def _log_findings(error: ValidationError, logger: logging.Logger) -> None:
    for finding in error.findings:
        logger.error("settings refused where=%r found=%r allowed=%r", finding.where, finding.found, finding.allowed)
