"""Measure node costs and cluster faults at the planned platform size, on simulated and real nodes."""
