"""Storage: an append-only log with snapshots whose acknowledged records survive a power loss.

`core` plans what is written when, without I/O: it hands out jobs of disk operations and is given the result
of each.  `recovery` reads what a directory holds, `runner` executes the jobs on a thread of its own, and
`repair` saves what is intact of a directory that recovery refuses.
"""
