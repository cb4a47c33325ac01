"""Adapter to the users' platform: its settings, store, entries and header names.

Everything that knows the platform's names is in this package; the rest of lagoonrill
gets its own types.
"""
