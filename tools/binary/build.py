"""Build poplarrelay as one file that runs as one process.

The file is a launcher that is linked with the interpreter's static library. It is
followed by an uncompressed archive of the standard library, the required packages and
poplarrelay.
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
#: Folders of the standard library and of packages that a server does not need.
EXCLUDED_FOLDERS = {
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
#: Time of all archive members. It is fixed so that equal sources give equal files.
TIMESTAMP = (2026, 1, 1, 0, 0, 0)
MODULE_SUFFIX = ".pyc"


class BuildError(Exception):
    """Error for a machine on which the binary cannot be built."""


def static_library() -> Path:
    """Return the interpreter's static library.

    Raises
    ------
    BuildError
        If the Python installation has no static library.
    """
    folder = sysconfig.get_config_var("LIBPL") or ""
    version = sysconfig.get_config_var("LDVERSION") or ""
    library = Path(folder) / f"libpython{version}.a"
    if not library.is_file():
        raise BuildError(
            f"this Python has no static library (libpython{version}.a); "
            "install a Python that has one, or use the wheel"
        )
    return library


def link(target: Path) -> None:
    """Compile the launcher and link it with the interpreter.

    Raises
    ------
    BuildError
        If there is no compiler, or if it fails.
    """
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise BuildError("no C compiler (cc or gcc) was found on PATH")
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
        raise BuildError(f"the launcher cannot be compiled and linked:\n{done.stderr}")


def _required_distributions(
    names: list[str],
) -> dict[str, importlib.metadata.Distribution]:
    """Return distributions and all distributions that they require."""
    found: dict[str, importlib.metadata.Distribution] = {}
    pending = list(names)
    while pending:
        name = pending.pop().lower().replace("_", "-").replace(".", "-")
        if name in found:
            continue
        distribution = importlib.metadata.distribution(name)
        found[name] = distribution
        for text in distribution.requires or ():
            needed = Requirement(text)
            if needed.marker is None or needed.marker.evaluate({"extra": ""}):
                pending.append(needed.name)
    return found


def _direct_requirements() -> list[str]:
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


def _standard_library_files() -> Iterator[tuple[Path, Path]]:
    folder = Path(sysconfig.get_path("stdlib"))
    for path in sorted(folder.rglob("*")):
        relative = path.relative_to(folder)
        if EXCLUDED_FOLDERS.intersection(relative.parts) or not path.is_file():
            continue
        if path.suffix == ".py" and not relative.parts[0].startswith("config-"):
            yield path, relative
        elif path.suffix == ".so":
            yield path, Path(path.name)


def _package_files() -> Iterator[tuple[Path, Path]]:
    for distribution in _required_distributions(_direct_requirements()).values():
        for entry in distribution.files or ():
            relative = Path(str(entry))
            path = Path(str(distribution.locate_file(entry)))
            unwanted = (
                EXCLUDED_FOLDERS.intersection(relative.parts) or ".." in relative.parts
            )
            if unwanted or not path.is_file() or relative.suffix == MODULE_SUFFIX:
                continue
            if relative.parts[0].endswith(".dist-info") and path.name != "METADATA":
                continue
            yield path, relative


def _project_files() -> Iterator[tuple[Path, Path]]:
    for path in sorted((ROOT / "poplarrelay").rglob("*.py")):
        relative = path.relative_to(ROOT)
        if "tests" not in relative.parts:
            yield path, relative
    yield HERE / "binary_boot.py", Path("binary_boot.py")


def _compile_module(path: Path, relative: Path) -> bytes:
    """Return a compiled module whose recorded path omits the build folder."""
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
    """Archive that follows the launcher in the binary.

    Notes
    -----
    Members are not compressed, because the module that decompresses them would itself
    be in the archive. Each folder has an entry, because a namespace package without one
    is not found.
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
            self._write(name, _compile_module(path, relative))
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
        File to write.

    Raises
    ------
    BuildError
        If the binary cannot be built on this machine.
    """
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        unfinished = Path(folder) / target.name
        link(unfinished)
        with zipfile.ZipFile(unfinished, "a", zipfile.ZIP_STORED) as stream:
            archive = Archive(stream)
            for source in (_project_files, _package_files, _standard_library_files):
                for path, relative in source():
                    archive.add(path, relative)
        unfinished.chmod(0o755)
        shutil.move(unfinished, target)


def main() -> None:
    """Build ``dist/poplarrelay``, or the file that is given as an argument."""
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
