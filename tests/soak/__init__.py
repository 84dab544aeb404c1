"""A randomized soak test: real gateway processes under injected faults."""
