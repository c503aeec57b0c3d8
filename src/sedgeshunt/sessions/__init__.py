"""Track what a session must read and encode it in session tokens."""
