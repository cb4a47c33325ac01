"""Routing policy: one module a decision, each with a registry of variants."""
