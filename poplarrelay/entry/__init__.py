"""Entry node: a process that relays callers' requests to a platform's endpoints."""
