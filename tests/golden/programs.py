"""Runs the project's programs as an operator does, and renders what they gave without what varies between runs."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path

ROOT = Path(__file__).parents[2]
PATIENCE_S = 60.0  # for a program that ends by itself
TERMINAL_COLUMNS = "100"  # help texts are wrapped to the terminal's width
VARIABLES_OF_THE_PROGRAMS = ("OCHRESPAN_SETTINGS", "BALANCER_CONFIG")

LOG_TIME = re.compile(r"\bat=\d{4}-\d\d-\d\dT[\d:.]+Z")
LOGGER_NAME = re.compile(r"^((?:DEBUG|INFO|WARNING|ERROR) )(?:__main__|ochrespan(?:\.\w+)*)", re.MULTILINE)


def start_program(module: str, *arguments: object, environment: Mapping[str, str] | None = None) -> subprocess.Popen:
    """Starts `python -m module` in the repository's root.

    Args:
        module: the module's name, as the operator writes it.
        *arguments: the words behind it.
        environment: variables to set beside those of this process.

    Returns:
        The process, with its three streams as text.
    """
    variables = {name: value for name, value in os.environ.items() if name not in VARIABLES_OF_THE_PROGRAMS}
    return subprocess.Popen(
        [sys.executable, "-m", module, *map(str, arguments)],
        cwd=ROOT,
        env={**variables, "COLUMNS": TERMINAL_COLUMNS, **(environment or {})},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def run_program(
    module: str,
    *arguments: object,
    environment: Mapping[str, str] | None = None,
    standard_input: str = "",
    masks: Mapping[str, str] | None = None,
) -> str:
    """Runs `python -m module` to its end.

    Args:
        module: the module's name, as the operator writes it.
        *arguments: the words behind it.
        environment: variables to set beside those of this process.
        standard_input: what the program reads.
        masks: texts that vary between runs, each with the name that stands for it.

    Returns:
        The exit code, the standard output and the standard error, as one text.
    """
    process = start_program(module, *arguments, environment=environment)
    try:
        output, error = process.communicate(standard_input, timeout=PATIENCE_S)
    finally:
        process.kill()
    return masked(f"exit code: {process.returncode}\n--- standard output\n{output}--- standard error\n{error}", masks)


def masked(text: str, masks: Mapping[str, str] | None = None) -> str:
    """Replaces the given texts, the times of log lines, and the names of loggers, which are those of modules."""
    for found, name in (masks or {}).items():
        text = text.replace(found, name)
    return LOGGER_NAME.sub(r"\1LOGGER", LOG_TIME.sub("at=TIME", text))
