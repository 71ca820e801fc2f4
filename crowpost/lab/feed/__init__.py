"""Lab runs of the configuration feed: a simulated fleet, and real processes on this machine."""
