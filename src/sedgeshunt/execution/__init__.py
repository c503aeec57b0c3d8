"""Run callers' statements at the targets that this proxy works with."""
