"""Hold what callers ask for by statements, and their sessions."""
