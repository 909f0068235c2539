"""RFC 9113 conformance cases: raw frames against the connection object, without a socket."""

import pytest

from .http2_cases import CALM, PAGE, Case, cases, outcome, page

CASES = list(cases())


@pytest.mark.parametrize("case", CASES, ids=[f"{c.section}: {c.what}"[:70] for c in CASES])
def test_the_outcome_conforms_to_the_rfc(case: Case):
    assert outcome(case) in case.outcomes


def test_the_page_lists_the_cases():
    assert PAGE.read_text() == page() and len(CASES) >= 100
    assert sum(case.outcomes[0] in CALM for case in CASES) >= 8
