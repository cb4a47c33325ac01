"""Listeners and clients: the only modules that open sockets."""
