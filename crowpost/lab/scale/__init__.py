"""Measure node costs and cluster faults at the planned platform size, on simulated nodes beside real ones."""
