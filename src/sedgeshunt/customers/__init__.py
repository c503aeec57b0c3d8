"""Tell who calls, and how much each customer may ask."""
