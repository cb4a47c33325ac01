"""Commands of the `lagoonrill` tool, one class per command."""
