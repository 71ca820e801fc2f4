"""Scenarios on loopback sockets: stub servers, discovery and clients around real node processes."""
