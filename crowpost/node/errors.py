"""The base class of the node's errors."""

from __future__ import annotations


class NodeError(Exception):
    """What a node's configuration, its clients, its endpoints or discovery got wrong."""
