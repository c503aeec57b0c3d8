"""Report burn rates of the error budgets of service-level objectives."""
