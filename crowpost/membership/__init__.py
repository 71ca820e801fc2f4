"""Membership: which processes of a cluster are present, by SWIM with suspicion and Lifeguard's awareness.

The core (`core`, with `view`, `gossip` and `wire`) does no I/O; `carrier` puts it on UDP and TCP.
"""
