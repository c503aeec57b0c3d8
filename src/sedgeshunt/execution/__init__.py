"""Run callers' statements at the targets of the declared groups."""
