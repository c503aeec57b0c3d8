"""Decide which proxy owns a group; only the owner uses its primary."""
