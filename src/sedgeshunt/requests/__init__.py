"""Run the requests of callers and determine their outcomes."""
