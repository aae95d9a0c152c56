"""Tools that build the project; not part of the package."""
