"""Store operator configuration and apply only newer revisions of it."""
