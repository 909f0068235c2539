"""SIGHUP while a program starts: its settings are read afterwards anyway, so the signal changes nothing."""

import signal
import subprocess
import sys
import time

import pytest

from ochrespan.programs.errors import ExitStatus

SIGNAL_INTERVAL_S = 0.01
IMPORT_SECONDS = 0.15


@pytest.mark.parametrize("program", ["controller", "router"])
def test_sighup_while_a_program_starts_does_not_end_it(program, tmp_path):
    """The settings are invalid, so that the program ends by itself once it has read them."""
    path = tmp_path / "node.yaml"
    path.write_text("{}")
    importer = f"""
import importlib, time, sys
module = importlib.import_module("ochrespan.programs.{program}")
from ochrespan.programs import reload_signal
ignore = reload_signal.ignore_until_handled
def ignore_and_tell():
    ignore()
    print("ignored", flush=True)
    time.sleep({IMPORT_SECONDS})
module.ignore_until_handled = ignore_and_tell
sys.exit(module.main())
"""
    process = subprocess.Popen(
        [sys.executable, "-c", importer],
        env={"OCHRESPAN_SETTINGS": str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    assert process.stdout.readline() == "ignored\n"
    while process.poll() is None:
        process.send_signal(signal.SIGHUP)
        time.sleep(SIGNAL_INTERVAL_S)
    assert process.returncode == ExitStatus.BAD_SETTINGS, process.stderr.read()
