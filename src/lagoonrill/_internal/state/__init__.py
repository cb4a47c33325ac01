"""State of one instance, each class guarded by its own lock."""
