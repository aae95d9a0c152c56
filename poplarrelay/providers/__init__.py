"""Clients of the platform's services: log service, host list and cloud API."""
