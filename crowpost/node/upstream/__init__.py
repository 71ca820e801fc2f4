"""The endpoint side of a node: connection pool, connections and calls."""
