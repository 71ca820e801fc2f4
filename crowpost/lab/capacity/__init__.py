"""`docs/CAPACITY.md`: what the size that is coming needs of each role, from the target and committed records.

Nothing here measures.  `records` reads what others measured, `figures` carries each number with its interval
and where it is from, and `page` renders and checks.
"""
