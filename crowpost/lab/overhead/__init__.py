"""What a node adds to a call: the same calls direct and through real nodes, in turn within one run."""
