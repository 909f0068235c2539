"""Size, independence and example of the decision module."""

import ast
import re
from pathlib import Path

import ochrespan

ROOT = Path(ochrespan.__file__).parent
MAX_STATEMENTS = 463  # bounds the size: 499 lines held 463 statements before the formatter split lines


def test_the_policy_package_stays_within_its_size_bounds():
    files = list((ROOT / "policy").glob("*.py"))
    lines = [line for file in files for line in file.read_text().splitlines() if line.strip()]
    nodes = [node for file in files for node in ast.walk(ast.parse(file.read_text()))]
    assert len(files) > 3
    assert sum(isinstance(node, ast.stmt) for node in nodes) <= MAX_STATEMENTS
    assert max(map(len, lines)) <= 110


def test_the_policy_package_names_its_interface_and_does_not_know_the_wire():
    assert "ochrespan/interface.py" in (ROOT / "policy/front.py").read_text().split('"""')[1]
    for file in (ROOT / "policy").glob("*.py"):
        text = file.read_text()
        assert "simhost" not in text and "Ns" not in text


def test_the_policy_package_uses_the_standard_library_only():
    allowed = {
        "__future__",
        "heapq",
        "random",
        "collections",
        "itertools",
        "math",
        "dataclasses",
        "enum",
        "typing",
        ".",
    }
    records = [ROOT / name for name in ("interface.py", "state.py", "flow_state.py", "sliding_sum.py")]
    for file in (*(ROOT / "policy").glob("*.py"), *records):
        for line in file.read_text().splitlines():
            if line.startswith(("import ", "from ")):
                top = line.split()[1].split(".")[0] or "."
                assert top in allowed, line


def test_the_example_on_the_front_s_page_runs(capsys):
    text = (ROOT.parent / "docs/front-in-service.md").read_text()
    exec(re.search(r"```python\n(.*?)```", text, re.S).group(1), {})
    assert "Send(request_id='r1', node='10.0.0.1:9000'" in capsys.readouterr().out
