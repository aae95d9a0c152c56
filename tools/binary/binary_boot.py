"""Start poplarrelay from the single-file binary.

The dynamic loader cannot map an extension module that is inside an archive. Each one is
copied to anonymous memory (memfd) and loaded from there, so no file is written.
"""

import os
import sys
import zipimport
from importlib.machinery import ExtensionFileLoader, ModuleSpec

EXTENSIONS = "extensions/"
SUFFIX = ".so"


class MemoryExtensionFinder:
    """Import finder for the extension modules in the archive.

    Notes
    -----
    The descriptor of a loaded module stays open. The dynamic loader identifies a
    library by its path, here ``/proc/self/fd/N``. If the descriptor were closed, the
    next module could get the same number and the loader would return the earlier one.
    """

    def __init__(self, archive):
        self._archive = archive
        self._importer = zipimport.zipimporter(archive)
        self._names = {
            name[len(EXTENSIONS) : -len(SUFFIX)]
            for name in self._importer._files
            if name.startswith(EXTENSIONS) and name.endswith(SUFFIX)
        }

    def find_spec(self, name, path=None, target=None):
        """Return the spec of an extension module in the archive, or None."""
        if name not in self._names:
            return None
        member = os.path.join(self._archive, EXTENSIONS + name + SUFFIX)
        descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
        content = memoryview(self._importer.get_data(member))
        while content:
            content = content[os.write(descriptor, content) :]
        location = f"/proc/self/fd/{descriptor}"
        loader = ExtensionFileLoader(name, location)
        return ModuleSpec(name, loader, origin=location)


def boot():
    """Make the extension modules importable, then run the command line."""
    sys.meta_path.insert(0, MemoryExtensionFinder(sys.executable))
    from poplarrelay.cli import main

    main()


if __name__ == "__main__":
    boot()
