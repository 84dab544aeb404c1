"""Clients of the platform: table, object and weight stores, host list."""
