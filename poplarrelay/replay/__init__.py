"""Replay recorded traces against running nodes and check their stated targets."""
