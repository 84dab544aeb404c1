"""Decides which requests and clients a host admits, and in which order."""
