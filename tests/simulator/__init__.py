"""Tests of crowpost.simulator, the adapter to the simulator."""
