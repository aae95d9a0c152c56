"""Clients of the back ends: model engines and plain services."""
