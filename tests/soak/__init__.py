"""A randomized soak of real gateways under faults that come from outside."""
