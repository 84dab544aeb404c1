"""Decisions without input or output: time and events come in as arguments."""
