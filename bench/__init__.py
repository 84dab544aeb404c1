"""Benchmarks of policies, the core, live daemons and capacity."""
