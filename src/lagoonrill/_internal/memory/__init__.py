"""Accounts for the memory that the callers of one process can make it take."""
