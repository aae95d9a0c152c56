"""The entry node: one process in front of a platform's endpoints."""
