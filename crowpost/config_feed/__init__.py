"""Configuration for a whole fleet: versioned documents, published once, applied everywhere.

The cores do no I/O: `follower` watches, `distribution_server` serves, and both share a `document_table`.
"""
