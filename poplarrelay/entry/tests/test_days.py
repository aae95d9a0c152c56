"""Files of simulated days: they use only kinds and fields that docs/DAYS.md lists."""

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
DAYS = sorted((ROOT / "deploy" / "days").glob("*.toml"))
#: Fields that hold numbers, with their upper limits (None: no limit).
NUMBERS = {
    "at": None,
    "share": 1.0,
    "count": None,
    "x": None,
    "for_s": None,
    "gap_s": None,
}


def documented_kinds():
    page = (ROOT / "docs" / "DAYS.md").read_text()
    rows = re.findall(r"^\| `(\w+)` \| ((?:`\w+`(?:, )?)+) \|$", page, re.MULTILINE)
    return {kind: set(re.findall(r"`(\w+)`", fields)) for kind, fields in rows}


def test_docs_list_every_day_file():
    page = (ROOT / "docs" / "DAYS.md").read_text()
    assert DAYS
    assert all(f"`{path.stem}`" in page for path in DAYS)


@pytest.mark.parametrize("path", DAYS, ids=lambda path: path.stem)
def test_day_has_known_kinds_and_fields(path):
    day = tomllib.loads(path.read_text())
    assert set(day) - {"classes"} == {"name", "plan", "faults"}
    for changed in day.get("classes", ()):
        assert set(changed) == {"name", "retries"}
        assert re.fullmatch(r"@c[01]", changed["name"])
        assert changed["retries"] >= 0
    assert day["name"] == path.stem
    kinds = documented_kinds()
    for entry in [*day["plan"], *day["faults"]]:
        assert entry["kind"] in kinds
        assert set(entry) - {"at", "kind"} <= kinds[entry["kind"]]
        assert "at" in entry
        for field, value in entry.items():
            if field in NUMBERS:
                assert 0 <= value <= (NUMBERS[field] or float("inf"))
            else:
                assert isinstance(value, str)
                assert re.fullmatch(r"@[csz][01]|[a-z_ ]+", value)
