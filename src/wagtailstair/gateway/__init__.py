"""The gateway: an event loop between callers, upstreams and the store."""
