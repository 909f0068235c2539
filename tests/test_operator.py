"""Validation of the operator's file; ranges, manifests and sealed chunks of the object API."""

import tomllib
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ochrespan import interface as api
from ochrespan import operator_config
from ochrespan.config import BadConfig
from ochrespan.objects import conditions, layout
from ochrespan.objects.layout import Manifest, Part

ROOT = Path(__file__).parent.parent
CLASSES = {name: api.RequestClass(name, 1, 2) for name in ("photo-read", "photo-write", "batch-export")}
PLANS = {name: api.Plan(name, weight=3) for name in ("basic", "standard", "priority")}
SETTINGS = api.Settings(fronts=3, classes=CLASSES, plans=PLANS, max_units=8)

GOOD = """
[objects]
listen = "127.0.0.1:1"
[[team]]
name = "a"
plan = "basic"
read = "photo-read"
write = "photo-write"
buckets = ["aaa"]
budget = { units_per_s = 100 }
"""


def test_files_in_the_repository_are_valid(tmp_path):
    got = operator_config.load(ROOT / "deploy" / "operator.toml", SETTINGS).sections
    assert set(got) == {"contracts", "objects", "metrics"}
    book = got["contracts"].registry
    assert book.by_bucket["review"] == "review-tools" and not got["contracts"].platform
    assert book.levels["review-tools"].budget.units_per_s == 400
    assert got["metrics"].graphite and got["metrics"].collectd
    example = operator_config.load(ROOT / "examples" / "operator.toml", SETTINGS).sections["contracts"].registry
    assert example.by_bucket["photos"] == "inspection"


@pytest.mark.parametrize(
    ("old", "new", "word"),
    [
        ('"basic"', '"golden"', "golden"),
        ('read = "photo-read"', 'read = "photo"', "photo"),
        ('read = "photo-read"', "", "read"),
        ('name = "a"', "name = 7", "name"),
        ('["aaa"]', '["Not A Bucket"]', "Not A Bucket"),
        ('["aaa"]', '["aaa", "aaa"]', "aaa"),
        ('["aaa"]', "[]", "buckets"),
        ("units_per_s = 100", "units_per_s = 0", "units_per_s"),
        ("units_per_s = 100", "units_per_s = 1, brust = 2", "brust"),
        ('"127.0.0.1:1"', '"nowhere"', "nowhere"),
        ("[objects]", "[objects]\nlistne = 1", "listne"),
        ("[objects]", "[graphit]\n[objects]", "graphit"),
        ("[objects]", '[collectd]\naddress = "127.0.0.1:1"\nprefix = "a b"\n[objects]', "prefix"),
        ('name = "a"', 'name = "a"\ntoken_sha256 = "secret"', "token_sha256"),
        ("[objects]", "[objects", "o.toml"),
        ("units_per_s = 100", "units_per_s = 100, burst_units = 1", "at least 24"),  # 8 units at each of 3 fronts
    ],
)
def test_error_in_the_file_is_reported_at_the_start(tmp_path, old, new, word):
    path = tmp_path / "o.toml"
    assert old in GOOD
    path.write_text(GOOD.replace(old, new))
    with pytest.raises(BadConfig, match=word):
        operator_config.load(path, SETTINGS)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    sizes=st.lists(st.integers(0, 3 * layout.PAYLOAD_BYTES), max_size=4),
    cut=st.tuples(st.floats(0, 1), st.floats(0, 1)),
)
def test_slices_of_a_range_are_its_bytes_in_order(sizes, cut):
    parts = [Part(i + 1, size, "", "g") for i, size in enumerate(sizes)]
    manifest = Manifest("", layout.now(), parts)
    begin, end = sorted(round(c * manifest.size) for c in cut)
    at = begin
    for piece in manifest.slices(begin, end):
        start = sum(p.size for p in parts[: piece.part.number - 1]) + piece.index * layout.PAYLOAD_BYTES
        assert start + piece.begin == at and piece.begin < piece.end <= piece.payload_bytes <= layout.PAYLOAD_BYTES
        at = start + piece.end
    assert at == end


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    size=st.integers(0, 50),
    first=st.one_of(st.none(), st.integers(0, 60)),
    last=st.one_of(st.none(), st.integers(0, 60)),
)
def test_ranges_are_parsed_according_to_the_rfc(size, first, last):
    header = f"bytes={'' if first is None else first}-{'' if last is None else last}"
    numbers = list(range(size))
    if first is None:
        wanted = None if last is None else numbers[max(0, size - last) :]
    elif last is not None and last < first:
        wanted = None
    else:
        wanted = numbers[first:] if last is None else numbers[first : last + 1]
    try:
        got = conditions.parse_range(header, size)
    except conditions.RangeNotSatisfiable:
        assert wanted == []
    else:
        assert (wanted is None) == (got is None) and (got is None or numbers[slice(*got)] == wanted)


def test_manifest_with_the_maximum_of_parts_fits_into_a_chunk_and_can_be_decoded():
    parts = [
        Part(n, 5 << 20, layout._digest((str(n),), 16).hex(), layout._digest((str(n),), 6).hex(), 10**12 + n)
        for n in range(1, layout.MAX_PARTS + 1)
    ]
    manifest = Manifest("e", layout.now(), parts, meta={"x-amz-meta-a": "b" * 2000})
    packed = manifest.encode()
    assert len(packed) <= layout.PAYLOAD_BYTES and Manifest.decode(packed) == manifest


def test_sealed_chunk_opens_only_with_its_own_name_and_bytes():
    body = layout.seal(("data", "a"), b"bytes")
    assert layout.unseal(("data", "a"), body) == b"bytes"
    for names, other in [
        (("data", "b"), body),
        (("data", "a"), body[:-1]),
        (("data", "a"), b""),
        (("data", "a"), b"x" + body[1:]),
    ]:
        with pytest.raises(layout.CorruptChunk):
            layout.unseal(names, other)


def test_example_is_consistent_with_its_readme():
    text = (ROOT / "examples" / "operator.toml").read_text()
    assert tomllib.loads(text)["objects"]["listen"] in (ROOT / "examples" / "README.md").read_text()
