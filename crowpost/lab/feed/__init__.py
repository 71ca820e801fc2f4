"""The configuration feed in the lab: a simulated fleet, and real processes on this machine."""
