"""The node's process: listeners, tick thread, and the threads that do I/O."""
