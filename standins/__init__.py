"""Simulated platform services and endpoints for tests, the demo and benchmarks."""
