"""In-memory state of one instance; each class has its own lock."""
