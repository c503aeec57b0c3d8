"""Offer the operators command line."""
