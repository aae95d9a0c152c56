"""Adapter to the operator's platform: names on the wire, formats and calls."""
