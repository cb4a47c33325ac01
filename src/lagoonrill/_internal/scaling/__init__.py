"""Orders more or fewer endpoints by the load; only the holder of a lease does so."""
