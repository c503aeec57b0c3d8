"""Proxy databases with session consistency, steered by labels."""
