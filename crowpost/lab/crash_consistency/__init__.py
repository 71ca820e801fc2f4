"""Power losses on a simulated disk: what a machine may wake up with, recovered from and checked."""
