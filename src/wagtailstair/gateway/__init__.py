"""The gateway: one event loop that serves callers, upstreams, peers and the store."""
