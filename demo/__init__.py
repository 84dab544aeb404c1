"""Demonstration of the router, with all of its processes on loopback."""
