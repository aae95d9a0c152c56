"""What the platform gives: log service, host list, cloud API."""
