"""Serve model and application traffic on hosts that can be reclaimed.

The package is a library of coordination parts (tables and the systems that run
over them) and the daemons that are built from it.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
