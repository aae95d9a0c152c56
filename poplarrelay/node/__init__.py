"""The process of a node: listeners, the tick thread and the I/O threads."""
