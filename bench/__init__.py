"""Measurements; run with ``make bench`` and ``make capacity``."""
