"""Tests of crowpost.membership, partly on its simulation."""
