"""Measures the routing policies on real processes; `make measure` runs all of it."""
