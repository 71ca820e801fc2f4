"""Tests of crowpost.membership and of its simulation."""
