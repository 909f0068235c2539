"""Variants of a deployment: what changes, what stays, and that the written file parses to the same document."""

import tomllib

import pytest

from benchmarks.own_sites import VARIANTS, make_variant, to_toml

SITE = {
    "name": "shops", "thin": 0.5, "light": True, "note": 'a "quoted" \\ word',
    "zones": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
    "machines": [
        {"class": "front", "zone": "a", "count": 9}, {"class": "front", "zone": "b", "count": 7},
        {"class": "core", "zone": "a", "count": 2, "disk": {"mb": 128}},
        {"class": "core", "zone": "b", "count": 3, "disk": {"mb": 128}},
    ],
    "services": [
        {"name": "llm", "servers": [{"zone": "a", "count": 20}, {"zone": "b", "count": 25}], "slots": 64, "queue": 192,
         "speeds": [], "llm": {"batch": 64, "kv_tokens": 500_000, "step_ms": 4.0, "prefill_tokens_per_ms": 60.0}},
        {"name": "ledger", "servers": [{"zone": "b", "count": 4}]},
    ],
    "classes": [{"name": "pitch", "stream": {
        "prompt_tokens": {"mean": 3000.0, "max": 50_000.0}, "chain": [{"tokens": {"mean": 13_000.0, "max": 40_000.0}}],
    }}],
    "traffic": [{"zone": "a", "per_s": 100.0}, {"zone": "b", "per_s": 50.0}],
    "tenants": {"count": 16},
    "day": [{"name": "quiet-1", "small": {"shrink": 4.0}, "traffic": [{"zone": "b", "per_s": 10.0}], "faults": []}],
}  # fmt: skip


@pytest.mark.parametrize("variant", VARIANTS)
def test_a_variant_round_trips_through_toml_and_leaves_the_original_unchanged(variant):
    changed = make_variant(SITE, variant)
    assert tomllib.loads(to_toml(changed)) == changed
    assert changed["name"] == f"shops-{variant}" and SITE["name"] == "shops"
    assert "small" not in changed["day"][0] and "small" in SITE["day"][0]
    assert changed["note"] == SITE["note"] and changed["light"] is True


def test_few_places_has_few_slow_engines_and_less_traffic():
    changed = make_variant(SITE, "few-places")
    engines = changed["services"][0]
    assert sum(group["count"] for group in engines["servers"]) == 10 / SITE["thin"]
    assert (engines["slots"], engines["llm"]["batch"], engines["llm"]["step_ms"]) == (16, 16, 12.0)
    assert changed["traffic"][0]["per_s"] == 6.0 and changed["day"][0]["traffic"][0]["per_s"] == 0.6
    assert changed["services"][1] == SITE["services"][1]


def test_tiny_prompts_have_many_tenants():
    changed = make_variant(SITE, "tiny-prompts")
    stream = changed["classes"][0]["stream"]
    assert (stream["prompt_tokens"]["mean"], stream["chain"][0]["tokens"]["max"]) == (150.0, 2000.0)
    assert changed["tenants"]["count"] == 60


def test_one_zone_keeps_the_number_of_voters():
    changed = make_variant(SITE, "one-zone")
    assert [(m["class"], m["zone"], m["count"]) for m in changed["machines"]] == [("front", "a", 4), ("core", "a", 5)]
    assert changed["traffic"] == [{"zone": "a", "per_s": 100.0}] and changed["day"][0]["traffic"] == []
    assert all(group["zone"] == "a" for service in changed["services"] for group in service["servers"])
    assert changed["services"][0]["speeds"] == [1.0, 0.5]
