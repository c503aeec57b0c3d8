"""Track which instances are live, leaving or unreachable."""
