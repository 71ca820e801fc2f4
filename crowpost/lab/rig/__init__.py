"""Fault injection on real processes on loopback: relays between them, and faults scheduled from a seed."""
