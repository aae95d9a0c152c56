"""HTTP/1.1 client connections and listeners on one event loop."""
