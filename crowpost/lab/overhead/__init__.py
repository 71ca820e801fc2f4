"""Measures what a node adds to a call, by comparing direct calls with calls through real nodes in one run."""
