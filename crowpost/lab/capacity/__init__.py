"""Capacity page `docs/CAPACITY.md`: what the target size needs of each role, by target and committed records.

This package measures nothing.  `records` reads what other commands measured, `figures` holds each number with
its interval and its sources, and `page` renders the page and checks it.
"""
