"""The binary is one file, runs as one process and unpacks no files."""

import os
import subprocess
from pathlib import Path

import pytest

from poplarrelay.testing.builders import small_site
from poplarrelay.testing.processes import run_site
from tools.binary.build import build

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    target = tmp_path_factory.mktemp("binary") / "poplarrelay"
    build(target)
    return target


def _child_processes(pid):
    children = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                fields = (entry / "stat").read_text().rpartition(")")[2].split()
            except OSError:
                continue
            if int(fields[1]) == pid:
                children.append(int(entry.name))
    return children


def test_binary_runs_in_an_empty_environment(binary):
    done = subprocess.run([binary, "version"], env={}, capture_output=True, check=True)
    assert done.stdout.strip() == b"0.1.0"


def test_binary_does_not_contain_the_path_of_the_build_folder(binary):
    content = binary.read_bytes()
    assert str(Path.cwd()).encode() not in content


def test_nodes_serve_as_one_process_each_and_write_no_file(binary, tmp_path):
    # A host has no disk, and a second process is not allowed. A binary that unpacks
    # itself would have a child process or leave files in the temporary folder.
    scratch = tmp_path / "scratch"
    scratch.mkdir()
    site = small_site(nodes=2, engines=1, services=1)
    environment = os.environ.copy()
    os.environ["TMPDIR"] = str(scratch)
    try:
        with run_site(site, command=(str(binary),)) as running:
            result = running.client("alpha").complete("small", "hello", 4)
            assert len(result.tokens) == 4
            for process in running.nodes.values():
                exe = Path(f"/proc/{process.pid}/exe").resolve()
                assert exe == binary.resolve()
                assert _child_processes(process.pid) == []
            remaining = {path.name for path in running.folder.iterdir()}
            assert all(name.endswith((".log", ".json")) for name in remaining)
            assert [p for p in scratch.iterdir() if p != running.folder] == []
    finally:
        os.environ.clear()
        os.environ.update(environment)
