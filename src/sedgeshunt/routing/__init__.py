"""Choose the target for a read and say why."""
