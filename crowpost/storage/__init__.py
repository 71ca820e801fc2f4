"""Storage: an append-only log with snapshots that keeps what it has acknowledged through a power loss.

`core` decides what is written when, without I/O: it hands out jobs of disk operations and is told how each
ended.  `recover` reads what a directory holds, `carrier` does the operations on a thread of its own, and
`repair` takes apart a directory that recovery refuses.
"""
