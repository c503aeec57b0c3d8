"""Lend connections to targets, each to one transaction at a time."""
