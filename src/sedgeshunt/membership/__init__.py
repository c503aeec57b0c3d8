"""Know which instances are there, leaving or gone."""
