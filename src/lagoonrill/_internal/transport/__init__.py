"""Network listeners and clients; no other package opens sockets."""
