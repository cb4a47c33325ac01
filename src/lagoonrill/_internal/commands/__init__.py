"""Commands of the lagoonrill tool, one class each."""
