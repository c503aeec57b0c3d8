"""Adapt to the users' platform: names, formats and calls, no decisions."""
