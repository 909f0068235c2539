"""The command line. `serve` runs a front; the other commands only read its files and send nothing."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click

from . import __version__, config
from .logs import FORMATS

OPERATOR = click.option(
    "--operator",
    type=click.Path(path_type=Path),
    metavar="FILE",
    help="The operator's file: contracts, object API, exporters. Without it all of these are off.",
)
CONFIG = click.option(
    "--config",
    "config_file",
    type=click.Path(path_type=Path),
    metavar="FILE",
    envvar="BALANCER_CONFIG",
    help="The platform's configuration; else what BALANCER_CONFIG names.",
)


class DefaultToServe(click.Group):
    """Options with no command before them are those of `serve`, as in `python -m ochrespan --operator FILE`."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        if args and args[0].startswith("-") and args[0] not in ("--help", "--version", "-h"):
            args = ["serve", *args]
        return super().parse_args(ctx, args)


@click.group(cls=DefaultToServe, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="ochrespan")
def cli() -> None:
    """A broker between many teams' services and a shared pool of chunk servers.

    Run with no command it serves, as `ochrespan serve` does. A first look:

    \b
      BALANCER_CONFIG=examples/config.json ochrespan check --operator examples/contracts.toml
      BALANCER_CONFIG=examples/config.json ochrespan contracts show --operator examples/contracts.toml
      BALANCER_CONFIG=examples/config.json ochrespan serve --operator examples/contracts.toml
    """


@cli.command()
@OPERATOR
@click.option("--log-format", type=click.Choice(FORMATS), help="How log lines are written to standard error.")
def serve(operator: Path | None, log_format: str | None) -> None:
    """Run one front until SIGTERM.

    SIGHUP reads the configuration and the operator's file anew: contracts change in service, whole or not at all;
    what needs a restart is named in the log. Exit 0 after a drain, 2 where a file is wrong.
    """
    from .front import run

    sys.exit(run(operator, log_format or ""))


def read_files(config_file: Path | None, operator_file: Path | None) -> tuple[Any, Any, list[str]]:
    """Reads the configuration and the operator's sections; also returns every error in both."""
    faults: list[str] = []
    configuration = operator_settings = None
    environ = dict(os.environ) | ({"BALANCER_CONFIG": str(config_file)} if config_file else {})
    try:
        configuration = config.load(environ)
    except config.BadConfig as error:
        faults += map(str, error.args)
    if operator_file is not None and configuration is None:
        faults.append(f"{operator_file}: not checked: its names are those of the configuration's settings")
    elif operator_file is not None:
        from . import operator_config

        try:
            operator_settings = operator_config.load(operator_file, configuration.settings)
        except config.BadConfig as error:
            faults += map(str, error.args)
    return configuration, operator_settings, faults


@cli.command()
@CONFIG
@OPERATOR
def check(config_file: Path | None, operator: Path | None) -> None:
    """Check both files without any traffic.

    Every fault is told at once, each with the file, the place in it, what was found and what is allowed. Exit 0
    where a front would start, 2 where it would not.
    """
    configuration, operator_settings, faults = read_files(config_file, operator)
    for fault in faults:
        click.echo(fault, err=True)
    if faults:
        sys.exit(2)
    settings = configuration.settings
    click.echo(
        f"configuration: {len(settings.classes)} classes, {len(settings.plans)} plans, "
        f"{len((configuration.known_servers or {}).get('members', []))} known chunk servers"
    )
    if operator_settings is not None:
        click.echo("operator's file: " + ", ".join(sorted(operator_settings.sections) or ["nothing switched on"]))


@cli.group()
def contracts() -> None:
    """What teams may send."""


@contracts.command()
@CONFIG
@OPERATOR
@click.option("--front", "one_front", is_flag=True, help="This front's part of each figure, not the whole.")
def show(config_file: Path | None, operator: Path | None, one_front: bool) -> None:
    """The contracts in effect, level by level, as a table.

    Budgets and reserves are those of all fronts together; a dash means that nothing bounds it there.
    """
    _, operator_settings, faults = read_files(config_file, operator)
    section = operator_settings.sections.get("contracts") if operator_settings is not None else None
    if section is None and not faults:
        faults.append(f"{operator or 'no operator file'}: found no contracts; allowed: [[team]] tables")
    for fault in faults:
        click.echo(fault, err=True)
    if faults:
        sys.exit(2)
    rows = [ROW, *contract_rows(section.registry, one_front)]
    widths = [max(len(row[i]) for row in rows) for i in range(len(ROW))]
    for row in rows:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


ROW = (
    "level",
    "kind",
    "plan",
    "classes",
    "known by",
    "reserve/s",
    "weight",
    "units/s",
    "attempts/s",
    "open",
    "units/hour",
    "units/day",
    "state",
)


def contract_rows(registry: Any, one_front: bool) -> Iterator[tuple[str, ...]]:
    """Yields a table row for each level, in the order of the file."""
    for path, terms in registry.levels.items():
        contract = registry.contracts.get(path)
        fronts = ((contract.fronts if contract else 0) or registry.fronts) if one_front else 1
        budget = terms.budget

        def format_amount(value: float | None, fronts: int = fronts) -> str:
            return "-" if not value else f"{value / fronts:g}"

        yield (
            path,
            terms.kind,
            contract.plan if contract else "-",
            ",".join(sorted(contract.classes - contract.withdrawn_classes)) if contract else "-",
            _identified_by(registry, path, contract),
            format_amount(terms.reserve.units_per_s),
            f"{terms.weight:g}",
            format_amount(budget.units_per_s),
            format_amount(budget.attempts_per_s),
            format_amount(budget.open),
            format_amount(budget.units_per_hour),
            format_amount(budget.units_per_day),
            _state(contract),
        )


def _identified_by(registry: Any, path: str, contract: Any) -> str:
    counts = {
        "token": len(contract.tokens) if contract else 0,
        "volume": sum(owner == path for owner in registry.by_volume.values()),
        "bucket": sum(owner == path for owner in registry.by_bucket.values()),
    }
    return ", ".join(f"{n} {what}{'s' * (n > 1)}" for what, n in counts.items() if n) or "-"


def _state(contract: Any) -> str:
    from datetime import UTC, datetime
    from math import isfinite

    if contract is None:
        return "-"
    if contract.withdrawn:
        return "withdrawn"
    bounds = [
        f"{bound} {datetime.fromtimestamp(at, UTC):%Y-%m-%dT%H:%MZ}"
        for bound, at in (("from", contract.begins), ("until", contract.ends))
        if isfinite(at)
    ]
    return " ".join(bounds) or "in force"


def main() -> int:
    cli.main(prog_name="ochrespan")
    return 0
