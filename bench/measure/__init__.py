"""Benchmarks the routing policies on separate processes; run by `make measure`."""
