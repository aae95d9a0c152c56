"""Decisions: plain functions over the tables, the inbox and the time.

No system does I/O, reads a clock or draws a random number that was not passed
in, so each can be embedded or tested without the daemon.
"""
