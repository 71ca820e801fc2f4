"""Discovery: watching the endpoint list."""
