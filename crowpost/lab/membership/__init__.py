"""Membership in simulated time: stand-alone clusters, and the front nodes of a simulated platform."""
