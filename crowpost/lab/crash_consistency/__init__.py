"""Crash consistency of the store: every state that a power loss may leave, recovered from and checked."""
