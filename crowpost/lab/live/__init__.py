"""Scenarios on loopback sockets: stand-in servers, discovery and clients around real node processes."""
