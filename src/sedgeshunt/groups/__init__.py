"""Select the primary of a group and track which writes are durable."""
