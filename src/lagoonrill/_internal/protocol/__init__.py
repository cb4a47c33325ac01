"""Types and codecs shared by all other layers; performs no I/O, starts no threads."""
