"""Admit what can be answered in time and refuse the rest at once."""
