"""Build poplarrelay as one file."""
