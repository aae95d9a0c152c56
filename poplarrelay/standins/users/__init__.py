"""Stand-in of the users' platform, speaking its published protocol on loopback."""
