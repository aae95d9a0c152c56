"""Typed messages: records of the log, what systems take in and what they order."""
