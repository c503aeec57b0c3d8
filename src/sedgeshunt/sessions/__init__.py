"""Keep what a session has seen, in a token that its caller carries."""
