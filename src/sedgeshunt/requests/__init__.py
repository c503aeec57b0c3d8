"""Carry a caller's request to its one outcome."""
