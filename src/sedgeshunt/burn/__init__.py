"""Report how fast the service-level error budget burns."""
