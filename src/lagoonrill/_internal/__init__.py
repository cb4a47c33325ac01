"""Private modules of lagoonrill; the public modules re-export the stable API."""
