"""The client side of a node: listener, connections and exchanges."""
