"""Pool connections to targets."""
