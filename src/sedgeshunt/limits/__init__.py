"""Admit statements that can be answered in time; refuse the rest at once."""
