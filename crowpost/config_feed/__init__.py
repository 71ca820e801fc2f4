"""Distributes versioned configuration documents from publishers, through relays, to all nodes of a cluster.

The protocol logic does no I/O: `follower` fetches documents, `distribution_server` serves them, and both
share a `document_table`.  `transport` connects them to TCP.
"""
