"""Drivers that run daemons and stand-ins as processes: demo and measurements."""
