"""Replay recorded traces against running nodes and judge stated outcomes."""
