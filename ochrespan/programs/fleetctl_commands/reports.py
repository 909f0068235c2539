"""Texts that `fleetctl` prints: tables of the fleet's state, and differences between configurations."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from difflib import unified_diff
from typing import Any

from ochrespan.control_plane.config.configuration import SECTIONS, Configuration, SectionChange, change_to
from ochrespan.control_plane.shards import CONFIG_SHARD

FEED_HEADER = ("router", "node", "version", "age", "offset", "age", "controller", "age", "confirmed")


def table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Left-aligned columns, each as wide as its widest cell."""
    cells = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    return "\n".join("  ".join(map(str.ljust, row, widths)).rstrip() for row in cells)


def status_report(status: dict[str, Any]) -> str:
    """The configuration's version, the shards with their leaders, and the numbers of routers and instances."""
    rows = [
        (
            shard["shard"],
            shard["leader"] or "none",
            f"{shard['quorum_age_s']:.1f} s",
            shard["offset"],
            _failures_tolerated(shard),
        )
        for shard in status["shards"]
    ]
    summary = (
        f"controller {status['node']} in {status['zone']} of fleet {status.get('cluster') or 'none'}: "
        f"configuration version {status['version']}, "
        f"{len(status['routers'])} routers, {len(status['instances'])} instances"
    )
    if status["declines_leadership_for_s"]:
        summary += f"; it leads nothing for {status['declines_leadership_for_s']:g} s more"
    if missing := status.get("missing_initial_members"):
        summary += f"; no commands before these initial members are there: {', '.join(missing)}"
    return summary + "\n" + table(("shard", "leader", "majority known", "offset", "bears losses"), rows)


def _failures_tolerated(shard: dict[str, Any]) -> str:
    """How many more voters may fail; only the shard's leader knows."""
    failures = shard.get("bearable_losses")
    return "ask its leader" if failures is None else str(failures)


def members_report(status: dict[str, Any]) -> str:
    """The live controllers and routers."""
    controllers = [("controller", each["address"], each["zone"]) for each in status["controllers"]]
    routers = [("router", name, "") for name in status["routers"]]
    return table(("role", "member", "zone"), sorted(controllers) + routers)


def feed_report(documents: Iterable[tuple[str, dict[str, Any] | None]]) -> str:
    """The progress of each router's feed, by its address; None for a router that did not respond."""
    return table(FEED_HEADER, [(address, *_feed_columns(document)) for address, document in documents])


def _feed_columns(document: dict[str, Any] | None) -> tuple[str, ...]:
    if document is None:
        return ("no answer", *[""] * (len(FEED_HEADER) - 2))
    config = next((each for each in document["shards"] if each["shard"] == CONFIG_SHARD), None)
    return (
        document["node"],
        str(document["version"]),
        _seconds(document["version_age_s"]),
        "none" if config is None else str(config["offset"]),
        _seconds(None if config is None else config["age_s"]),
        document["controller"] or "none",
        _seconds(document["controller_age_s"]),
        _seconds(document["current_age_s"]),
    )


def _seconds(age_s: float | None) -> str:
    return "never" if age_s is None else f"{age_s:.1f} s"


def instances_report(status: dict[str, Any], service: str = "") -> str:
    """The registered instances, of one service or of all."""
    listed = [each for each in status["instances"] if service in ("", each["backend"])]
    columns = ("backend", "id", "address", "zone", "state", "capacity", "generation")
    rows = sorted(tuple(each[column] for column in columns) for each in listed)
    return table(("service", *columns[1:]), rows)


def history_report(changes: Iterable[dict[str, Any]]) -> str:
    """The changes of the configuration, one per line."""
    rows = [
        (each["version"], each["builds_on"], _time_of(each["received_ms"]), each["kind"], _counts_of(each["changed"]))
        for each in changes
    ]
    return table(("version", "on top of", "received", "kind", "changed"), rows)


def _time_of(unix_ms: int) -> str:
    return datetime.fromtimestamp(unix_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S") if unix_ms else "unknown"


def _counts_of(changed: dict[str, Sequence[int]]) -> str:
    counts = [f"{name} +{upserted} -{deleted}" for name, (upserted, deleted) in changed.items()]
    return ", ".join(counts) or "limits or nothing"


def difference_report(current: dict[str, Any], wanted: dict[str, Any]) -> str:
    """The difference between two configurations, item by item; empty where they are equal."""
    change = change_to(_as_configuration(current), wanted)
    sections = [_section_report(name, getattr(change, name), current) for name in SECTIONS]
    if change.others is not None:
        before = {name: value for name, value in current.items() if name not in (*SECTIONS, "generation")}
        sections.append(_document_difference("others", before, dict(change.others)))
    return "\n".join(section for section in sections if section)


def _section_report(name: str, change: SectionChange, current: dict[str, Any]) -> str:
    before = {item["name"]: item for item in current.get(name) or ()}
    lines = [f"- {name} {item}" for item in change.deleted]
    for item in change.upserted:
        if item["name"] in before:
            lines.append(_document_difference(f"{name} {item['name']}", before[item["name"]], item))
        else:
            lines.append(f"+ {name} {item['name']}")
    return "\n".join(lines)


def _document_difference(title: str, before: dict[str, Any], after: dict[str, Any]) -> str:
    before_lines, after_lines = (json.dumps(each, indent=1, sort_keys=True).splitlines() for each in (before, after))
    lines = list(unified_diff(before_lines, after_lines, n=0, lineterm=""))[2:]  # without the two lines of file names
    changed = [line for line in lines if not line.startswith("@@")]
    return "\n".join((f"~ {title}", *(f"    {line}" for line in changed)))


def _as_configuration(document: dict[str, Any]) -> Configuration:
    if not document.get("generation"):
        return Configuration()
    return Configuration().changed_by(change_to(Configuration(), document))
