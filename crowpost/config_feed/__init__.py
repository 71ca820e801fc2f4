"""Configuration for a whole fleet: versioned documents, published once, in force everywhere.

The core does no I/O: `follower` watches, `hub` serves watches, both hold a `table` of documents.
"""
