"""Decide which target leads a group and which writes are durable."""
