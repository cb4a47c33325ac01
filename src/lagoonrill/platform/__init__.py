"""Adapter for the users' platform: its settings, store, entries and header names.

Names that are specific to the platform occur only in this package. It converts the
platform's data to the types that the rest of lagoonrill uses.
"""
