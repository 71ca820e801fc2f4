"""Storage: an append-only log with snapshots whose acknowledged records survive a power loss.

`core` plans the writes without doing I/O: it returns jobs of disk operations and processes their results.
`recovery` reads the content of a directory, `runner` executes the jobs on a separate thread, and `repair`
saves the intact part of a directory that recovery rejects.
"""
