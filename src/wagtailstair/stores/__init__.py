"""Clients of the platform: table service, object and weight stores, host list."""
