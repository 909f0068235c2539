"""Runs a program of the fleet with faults of its links: `python -m tests.support.fleet_processes.launch MODULE`."""

from __future__ import annotations

import os
import runpy
import sys
from pathlib import Path

from tests.support.fleet_processes.links import LinkFaults, install

FILE_VARIABLE = "LINK_FAULTS_FILE"
IP_VARIABLE = "LINK_FAULTS_IP"

if __name__ == "__main__":
    install(LinkFaults(Path(os.environ[FILE_VARIABLE]), os.environ[IP_VARIABLE]))
    runpy.run_module(sys.argv[1], run_name="__main__")
