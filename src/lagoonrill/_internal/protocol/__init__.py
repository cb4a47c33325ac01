"""Types and codecs that every other layer shares; no I/O and no threads."""
