"""Decide which proxy owns a group: it alone uses the group's primary."""
