"""History checking of concurrent runs and the fault matrix."""
