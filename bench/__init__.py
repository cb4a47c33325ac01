"""Demonstration, measurements and simulations of daemons, endpoints and policies."""
