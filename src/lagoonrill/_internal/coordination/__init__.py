"""Decisions that involve callers, endpoints, peers or the platform."""
