"""The upstream side of a node: connection pool, connections to endpoints, and calls."""
