"""Tests that the examples print the output that their pages show."""

import subprocess
import sys
from pathlib import Path

import pytest

EXAMPLES = Path(__file__).parents[3] / "examples"
EXPECTED_LINES = {
    "choose_an_endpoint": ["cheap-busy: first token in 0.97 s"],
    "fold_a_change": [
        "0 first: in force",
        "1 anna: in force",
        "2 bert: lost",
        "3 anna: lost",
        "in force: offset 1",
    ],
    "plan_hosts": [
        "start fixed in east, spot in north",
        "start fixed in east, fixed in north",
    ],
}


@pytest.mark.parametrize("name", EXPECTED_LINES)
def test_example_prints_its_documented_output(name):
    process = subprocess.run(
        [sys.executable, str(EXAMPLES / f"{name}.py")],
        capture_output=True,
        text=True,
        check=True,
        timeout=30,
    )
    assert process.stdout.splitlines() == EXPECTED_LINES[name]
