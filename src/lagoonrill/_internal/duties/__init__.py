"""Work that one instance of the fleet does for all: leases, reports and orders."""
