"""The ablation: a switch patches names for one run only, and the table shows the paired differences."""

import pytest

from benchmarks import ablation
from benchmarks.ablation import DEPLOYMENTS, SWITCHES, table, value_without


@pytest.mark.parametrize("switch", SWITCHES, ids=lambda switch: switch.name)
def test_a_switch_patches_existing_names_and_restores_them(switch):
    before = [getattr(owner, name) for owner, name, _ in switch.replacements]
    deployment = ablation.Deployment("small", 2, 2, 1.0, 2.0)
    assert 0.0 < value_without(deployment, switch, 1) <= 1.0
    assert [getattr(owner, name) for owner, name, _ in switch.replacements] == before


def test_the_table_has_a_line_for_each_mechanism_with_the_paired_difference():
    requested = []

    def run_trials(trials):
        requested.extend(trials)
        return [0.9 if switch < 0 else 0.8 + 0.01 * seed for _, switch, seed in trials]

    lines = table(2, run_trials)
    assert len(lines) == 3 + len(SWITCHES) and len(requested) == 2 * len(DEPLOYMENTS) * (1 + len(SWITCHES))
    assert lines[2].startswith("| nothing: the worth | 0.9000")
    assert lines[3].startswith(f"| {SWITCHES[0].name} | -0.0950 (")
