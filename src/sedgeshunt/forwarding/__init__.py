"""Have peers run what this proxy can't, and tell each other what they own."""
