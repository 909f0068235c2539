"""The ablation: switches replace names for one play only, and its table tells the paired differences."""

import pytest

from benchmarks import ablation
from benchmarks.ablation import DEPLOYMENTS, SWITCHES, table, worth_without


@pytest.mark.parametrize("switch", SWITCHES, ids=lambda switch: switch.name)
def test_a_switch_names_what_the_program_has_and_puts_it_back(switch):
    before = [getattr(owner, name) for owner, name, _ in switch.replaced]
    small = ablation.Deployment("small", 2, 2, 1.0, 2.0)
    assert 0.0 < worth_without(small, switch, 1) <= 1.0
    assert [getattr(owner, name) for owner, name, _ in switch.replaced] == before


def test_the_table_has_a_line_for_each_mechanism_with_the_paired_difference():
    asked = []

    def play_all(places):
        asked.extend(places)
        return [0.9 if switch < 0 else 0.8 + 0.01 * seed for _, switch, seed in places]

    lines = table(2, play_all)
    assert len(lines) == 3 + len(SWITCHES) and len(asked) == 2 * len(DEPLOYMENTS) * (1 + len(SWITCHES))
    assert lines[2].startswith("| nothing: the worth | 0.9000")
    assert lines[3].startswith(f"| {SWITCHES[0].name} | -0.0950 (")
