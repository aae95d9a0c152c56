"""HTTP/1.1 on one event loop: connections out, listeners in."""
