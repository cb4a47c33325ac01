"""Coordination between callers, endpoints, peers and the platform."""
