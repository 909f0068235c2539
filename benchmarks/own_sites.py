"""Variants of a deployment, derived from a site file: other engines, prompts, tenants and zones.

    python -m benchmarks.own_sites SITE found/sites

Writes one site file for each of VARIANTS. The rest of the deployment, its scenarios and its faults are unchanged, so
the benchmark program can run them like the original. Its score thresholds do not apply to them; values and rules do.
"""

from __future__ import annotations

import sys
import tomllib
from collections.abc import Callable
from copy import deepcopy
from pathlib import Path
from typing import Any

import defopt

Site = dict[str, Any]

SMALL_SERVER_COUNT = 10  # that run, after the site's factor `thin` is applied
SMALL_BATCH = 16
SLOWDOWN = 3.0  # multiplies the duration of a step, and divides the prefill rate
SMALL_CACHE_TOKENS = 120_000
SMALL_TRAFFIC_FACTOR = 0.06  # of the original traffic; prefill then uses about half of the engines' capacity
TINY_PROMPT_FACTOR = 0.05  # of the tokens in a prompt
TENANT_COUNT = 60
SLOW_ENGINE_SPEED = 0.5
ONE_ZONE_MACHINE_FACTOR = 0.25  # of a class's machines
ONE_ZONE_TRAFFIC_FACTOR = 0.5  # of the traffic


def few_places(site: Site) -> None:
    """Few slow engines with small batches and caches, behind all routers."""
    for service in _engines(site):
        zones, servers = len(service["servers"]), round(SMALL_SERVER_COUNT / site.get("thin", 1.0))
        for number, group in enumerate(service["servers"]):
            group["count"] = servers // zones + (number < servers % zones)
        service["slots"], service["queue"] = SMALL_BATCH, 3 * SMALL_BATCH
        engine = service["llm"]
        engine["batch"], engine["kv_tokens"] = SMALL_BATCH, SMALL_CACHE_TOKENS
        engine["step_ms"] *= SLOWDOWN
        engine["prefill_tokens_per_ms"] /= SLOWDOWN
    _scale_traffic(site, SMALL_TRAFFIC_FACTOR)


def tiny_prompts(site: Site) -> None:
    """Tiny prompts of many small tenants."""
    for kind in site["classes"]:
        if stream := kind.get("stream"):
            for sizes in (stream["prompt_tokens"], *(segment["tokens"] for segment in stream.get("chain", ()))):
                sizes["mean"], sizes["max"] = (
                    max(8.0, sizes["mean"] * TINY_PROMPT_FACTOR),
                    max(32.0, sizes["max"] * TINY_PROMPT_FACTOR),
                )
    site["tenants"]["count"] = TENANT_COUNT


def one_zone(site: Site) -> None:
    """One zone, few routers, and engines of two speeds."""
    zone = site["zones"][0]["name"]
    site["zones"] = site["zones"][:1]
    for each in (site, *site["day"]):
        if "machines" in each:
            each["machines"] = _one_zone_machines(each["machines"], zone)
        if "traffic" in each:
            each["traffic"] = [flow for flow in each["traffic"] if flow["zone"] == zone]
    for service in site["services"]:
        total = sum(group["count"] for group in service["servers"])
        service["servers"] = [{"zone": zone, "count": max(2, round(total * ONE_ZONE_TRAFFIC_FACTOR * 0.5))}]
    for service in _engines(site):
        service["speeds"] = [1.0, SLOW_ENGINE_SPEED]


VARIANTS: dict[str, Callable[[Site], None]] = {
    "few-places": few_places, "tiny-prompts": tiny_prompts, "one-zone": one_zone,
}  # fmt: skip


def make_variant(site: Site, variant: str) -> Site:
    """A variant of a site, without the `small` variants of its days, as they would override the changes."""
    changed = deepcopy(site)
    for day in changed["day"]:
        day.pop("small", None)
    VARIANTS[variant](changed)
    changed["name"] = f"{site['name']}-{variant}"
    return changed


def to_toml(site: Site) -> str:
    """The text of a site file: a table for each day, one line for each other entry."""
    lines = [f"{name} = {_value(value)}" for name, value in site.items() if name != "day"]
    for day in site["day"]:
        lines += ["", "[[day]]", *(f"{name} = {_value(value)}" for name, value in day.items())]
    return "\n".join(lines) + "\n"


def _value(value: Any) -> str:
    match value:
        case bool():
            return "true" if value else "false"
        case str():
            return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
        case dict():
            return "{ " + ", ".join(f"{name} = {_value(each)}" for name, each in value.items()) + " }"
        case list():
            return "[" + ", ".join(_value(each) for each in value) + "]"
        case _:
            return repr(value)


def _engines(site: Site) -> list[Site]:
    return [service for service in site["services"] if "llm" in service]


def _scale_traffic(site: Site, factor: float) -> None:
    for each in (site, *site["day"]):
        for flow in each.get("traffic", ()):
            flow["per_s"] = round(flow["per_s"] * factor, 3)


def _one_zone_machines(machines: list[Site], zone: str) -> list[Site]:
    """The machines of one zone. Voters (with disks) keep their total number, so that as many losses are tolerated."""
    by_class: dict[str, list[Site]] = {}
    for machine in machines:
        by_class.setdefault(machine["class"], []).append(machine)
    remaining = []
    for groups in by_class.values():
        total = sum(group["count"] for group in groups)
        counts_for_quorum = "disk" in groups[0]
        remaining.append(
            {
                **groups[0],
                "zone": zone,
                "count": total if counts_for_quorum else max(2, round(total * ONE_ZONE_MACHINE_FACTOR)),
            }
        )
    return remaining


def run(site: Path, folder: Path) -> int:
    """Writes the variants of a deployment.

    :param site: the site file
    :param folder: directory for the variants
    """
    document = tomllib.loads(site.read_text())
    folder.mkdir(parents=True, exist_ok=True)
    for variant in VARIANTS:
        path = folder / f"{document['name']}-{variant}.toml"
        path.write_text(to_toml(make_variant(document, variant)))
        print(path)
    return 0


if __name__ == "__main__":
    sys.exit(defopt.run(run))
