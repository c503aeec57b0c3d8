"""Run callers' statement sessions and dispatch their calls."""
