"""Serve model and application traffic on hosts that can be reclaimed.

The package holds a coordination library (tables, and systems that run over them) and
the daemons that are built with it.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
