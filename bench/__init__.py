"""Measurements of the policy and of the core, seeded and bounded."""
