"""Stand-ins for the platform and the upstreams, for tests, demo and benchmarks."""
