"""The downstream side of a node: the listener, client connections and exchanges."""
