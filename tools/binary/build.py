"""Build poplarrelay as one file that runs as one process.

The file is a launcher linked with the interpreter's static library, followed by an
uncompressed archive of the standard library, the packages and poplarrelay.
"""

from __future__ import annotations

import argparse
import importlib.metadata
import py_compile
import shutil
import subprocess
import sys
import sysconfig
import tempfile
import zipfile
from collections.abc import Iterator
from pathlib import Path

from packaging.requirements import Requirement

__all__ = ["BuildError", "build"]

HERE = Path(__file__).parent
ROOT = HERE.parent.parent
EXTENSIONS = "extensions/"
#: Parts of the standard library that a server does not need.
LEFT_OUT = {
    "__pycache__",
    "ensurepip",
    "idlelib",
    "lib2to3",
    "pydoc_data",
    "site-packages",
    "test",
    "tests",
    "tkinter",
    "turtledemo",
    "venv",
}
#: A fixed time, so that the same sources give the same file.
TIMESTAMP = (2026, 1, 1, 0, 0, 0)
MODULE_SUFFIX = ".pyc"


class BuildError(Exception):
    """The binary cannot be built on this machine."""


def static_library() -> Path:
    """Return the interpreter's static library.

    Raises
    ------
    BuildError
        If this Python was installed without it.
    """
    folder = sysconfig.get_config_var("LIBPL") or ""
    version = sysconfig.get_config_var("LDVERSION") or ""
    library = Path(folder) / f"libpython{version}.a"
    if not library.is_file():
        raise BuildError(
            f"this Python has no static library (libpython{version}.a); "
            "install one that was built with it, or use the wheel"
        )
    return library


def link(target: Path) -> None:
    """Compile the launcher and link it with the interpreter.

    Raises
    ------
    BuildError
        If the compiler is absent or fails.
    """
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise BuildError("a C compiler is needed")
    include = sysconfig.get_path("include")
    libraries = (sysconfig.get_config_var("LIBS") or "").split()
    system = (sysconfig.get_config_var("SYSLIBS") or "").split()
    command = [
        compiler,
        "-O2",
        f"-I{include}",
        str(HERE / "launcher.c"),
        str(static_library()),
        "-Wl,--export-dynamic",
        "-Wl,--build-id=none",
        *libraries,
        *system,
        "-lm",
        "-s",
        "-o",
        str(target),
    ]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode:
        raise BuildError(f"linking failed:\n{done.stderr}")


def _closure(names: list[str]) -> dict[str, importlib.metadata.Distribution]:
    """Return the distributions that some need, themselves included."""
    found: dict[str, importlib.metadata.Distribution] = {}
    waiting = list(names)
    while waiting:
        name = waiting.pop().lower().replace("_", "-").replace(".", "-")
        if name in found:
            continue
        distribution = importlib.metadata.distribution(name)
        found[name] = distribution
        for text in distribution.requires or ():
            needed = Requirement(text)
            if needed.marker is None or needed.marker.evaluate({"extra": ""}):
                waiting.append(needed.name)
    return found


def _direct() -> list[str]:
    lines = (ROOT / "requirements.in").read_text().splitlines()
    return [line.strip() for line in lines if line.strip()]


def _module_name(relative: Path) -> str:
    """Return the full name of an extension module from its path.

    Examples
    --------
    >>> _module_name(Path("pydantic_core/_pydantic_core.cpython-311-x.so"))
    'pydantic_core._pydantic_core'
    """
    return ".".join([*relative.parts[:-1], relative.name.split(".")[0]])


def _standard_library() -> Iterator[tuple[Path, Path]]:
    folder = Path(sysconfig.get_path("stdlib"))
    for path in sorted(folder.rglob("*")):
        relative = path.relative_to(folder)
        if LEFT_OUT.intersection(relative.parts) or not path.is_file():
            continue
        if path.suffix == ".py" and not relative.parts[0].startswith("config-"):
            yield path, relative
        elif path.suffix == ".so":
            yield path, Path(path.name)


def _packages() -> Iterator[tuple[Path, Path]]:
    for distribution in _closure(_direct()).values():
        for entry in distribution.files or ():
            relative = Path(str(entry))
            path = Path(str(distribution.locate_file(entry)))
            unwanted = LEFT_OUT.intersection(relative.parts) or ".." in relative.parts
            if unwanted or not path.is_file() or relative.suffix == MODULE_SUFFIX:
                continue
            if relative.parts[0].endswith(".dist-info") and path.name != "METADATA":
                continue
            yield path, relative


def _own() -> Iterator[tuple[Path, Path]]:
    for path in sorted((ROOT / "poplarrelay").rglob("*.py")):
        relative = path.relative_to(ROOT)
        if "tests" not in relative.parts:
            yield path, relative
    yield HERE / "binary_boot.py", Path("binary_boot.py")


def _compile(path: Path, relative: Path) -> bytes:
    """Return a compiled module that names its file without the build's folder."""
    with tempfile.NamedTemporaryFile(suffix=MODULE_SUFFIX) as target:
        py_compile.compile(
            str(path),
            cfile=target.name,
            dfile=str(relative),
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        return Path(target.name).read_bytes()


class Archive:
    """The archive behind the launcher.

    Notes
    -----
    Members are stored and not compressed, since the module that inflates them
    would itself have to come out of the archive. Folders get entries of their
    own: without them a namespace package is not found.
    """

    def __init__(self, stream: zipfile.ZipFile) -> None:
        self._stream = stream
        self._names: set[str] = set()

    def _write(self, name: str, content: bytes) -> None:
        if name not in self._names:
            self._names.add(name)
            self._stream.writestr(zipfile.ZipInfo(name, TIMESTAMP), content)

    def add(self, path: Path, relative: Path) -> None:
        """Add a module, an extension module or a data file."""
        for parent in reversed(relative.parents[:-1]):
            self._write(f"{parent.as_posix()}/", b"")
        if path.suffix == ".py":
            name = relative.with_suffix(MODULE_SUFFIX).as_posix()
            self._write(name, _compile(path, relative))
        elif ".so" in path.suffixes:
            name = f"{EXTENSIONS}{_module_name(relative)}.so"
            self._write(name, path.read_bytes())
        else:
            self._write(relative.as_posix(), path.read_bytes())


def build(target: Path) -> None:
    """Build the binary.

    Parameters
    ----------
    target : pathlib.Path
        The file to write.

    Raises
    ------
    BuildError
        If it cannot be built on this machine.
    """
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        made = Path(folder) / target.name
        link(made)
        with zipfile.ZipFile(made, "a", zipfile.ZIP_STORED) as stream:
            archive = Archive(stream)
            for source in (_own, _packages, _standard_library):
                for path, relative in source():
                    archive.add(path, relative)
        made.chmod(0o755)
        shutil.move(made, target)


def main() -> None:
    """Build ``dist/poplarrelay`` or the file that is named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "target", nargs="?", type=Path, default=ROOT / "dist" / "poplarrelay"
    )
    target = parser.parse_args().target
    try:
        build(target)
    except BuildError as error:
        sys.exit(f"build: {error}")
    print(f"{target.name}: {target.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    main()
