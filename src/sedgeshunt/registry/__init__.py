"""Keep what lasts in the platform's store, and follow what others keep."""
