"""Membership in simulated time, and among the front nodes of a simulated platform."""
