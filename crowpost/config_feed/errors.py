"""Errors of the configuration feed."""

from __future__ import annotations


class FeedError(ValueError):
    """Base class of the errors for an invalid document, scope, message or setting; the text is one line."""


class FrameError(FeedError):
    """Received bytes are not a message of this cluster.

    Attributes:
        kind: the reason in one word, used as the suffix of a counter: magic, wire, cluster, oversized,
            checksum, kind or malformed.
        fatal: whether the stream cannot be read any further; true for the first four kinds.
    """

    def __init__(self, kind: str, text: str) -> None:
        super().__init__(text)
        self.kind = kind
        self.fatal = kind in ("magic", "wire", "cluster", "oversized")
