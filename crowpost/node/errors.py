"""The base class of the node's errors."""

from __future__ import annotations


class NodeError(Exception):
    """A fault in a node's configuration, or in input from its clients, endpoints or discovery."""
