"""HTTP listeners and responses, built on CherryPy and its server."""
