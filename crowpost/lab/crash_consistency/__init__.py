"""Crash consistency of the store: recovery is checked from every state that a power loss may leave."""
