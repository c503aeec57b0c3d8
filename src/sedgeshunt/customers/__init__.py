"""Identify customers and enforce their limits over all proxies."""
