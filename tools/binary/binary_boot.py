"""Start poplarrelay from within its own file.

Extension modules cannot be mapped out of an archive. Each is copied to anonymous
memory (memfd) and loaded from there, so nothing is written to a file system.
"""

import os
import sys
import zipimport
from importlib.machinery import ExtensionFileLoader, ModuleSpec

EXTENSIONS = "extensions/"
SUFFIX = ".so"


class MemoryExtensionFinder:
    """Finds extension modules within the archive, by their full names.

    Notes
    -----
    The descriptor of a loaded module stays open. The dynamic loader knows a library
    by its path, here ``/proc/self/fd/N``: were the descriptor closed, its number
    would be used again and the next module would be taken for this one.
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
        """Return the spec of an extension module, None for any other."""
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
    """Make extension modules importable, then run the command line."""
    sys.meta_path.insert(0, MemoryExtensionFinder(sys.executable))
    from poplarrelay.cli import main

    main()


if __name__ == "__main__":
    boot()
