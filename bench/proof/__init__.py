"""Fault injection on running fleets, checked against the recorded history."""
