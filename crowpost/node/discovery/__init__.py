"""Discovery: the endpoint list, watched."""
