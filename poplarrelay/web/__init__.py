"""Listeners and answers over HTTP, by CherryPy and its server."""
