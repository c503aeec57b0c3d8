"""Hold what operators declare, and apply it only upwards."""
