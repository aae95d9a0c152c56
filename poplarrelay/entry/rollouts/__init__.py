"""Roll-outs: moving the traffic of a service to endpoints of another version."""
