"""Statuses that the answer of an endpoint may have."""

# Largest valid status (RFC 9110, section 15). The HTTP parsers reject statuses below
# 100 and accept all others of three digits.
MAX_STATUS = 599
