"""Choose the target for a read and explain the choice."""
