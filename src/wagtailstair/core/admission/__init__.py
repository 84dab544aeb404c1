"""Decisions on which work may begin, and when."""
