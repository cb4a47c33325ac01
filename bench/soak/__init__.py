"""A randomized, seeded soak of the real gateways under faults from outside."""
