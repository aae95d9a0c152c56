"""Typed messages: log records, inputs of the systems and effects that they issue."""
