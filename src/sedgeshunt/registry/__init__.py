"""Read, write and watch the entries in the platform's store."""
