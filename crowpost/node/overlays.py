"""What documents of the feed mean to a node: overlays on its configuration file, taken whole or not at all.

A document's body is a JSON object, merged onto the file as a JSON merge patch (RFC 7396: objects are merged,
null removes, any other value replaces), in the order all, region, service, node.  Nothing here does I/O.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from crowpost.feed.model import Document, FeedError, Head, make_document, order
from crowpost.node.configuration import Config, ConfigError, read_config, read_file

BYTES = 32_768  # of a document: what reads and compares it holds the loop up, and may not for 5 ms
KEY = 120  # characters of a key that are told
CONNECT_TIMEOUT = "settings.policyLimits.connectTimeoutMs"
# What a running node can take over without a request noticing.  All other settings are the module's from its
# first event on, or sizes of what is open.
LIVE = frozenset({"discovery", CONNECT_TIMEOUT})
# The least that a node can be configured with, where a publisher has no node's file to judge by.
_PROFILE = {"name": "any", "effect": "safe", "aimMs": 1.0, "deadlineMs": 1.0}
_LEAST: dict[str, Any] = {
    "seed": "0",
    "limits": {"memory_mb": 64, "sockets": 64},
    "settings": {"profiles": [_PROFILE]},
}
_ADDRESSES = {"name": "sample", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:0"}


@dataclass(frozen=True, slots=True)
class Live:
    """The values of what may change while the node runs."""

    discovery: tuple[str, int]
    connect_timeout_ms: float


@dataclass(frozen=True, slots=True)
class Proposal:
    """A document that may be taken, and what the node is configured by from then on."""

    document: Document
    overlay: dict[str, Any]
    merged: dict[str, Any]
    live: Live


class Overlays:
    """The configuration that a node started with, and the documents in force on it.

    raw: of the file; kept: the documents that were in force when the node's last process ended.
    """

    def __init__(
        self, environment: Mapping[str, str], raw: dict[str, Any], path: str, kept: Iterable[Document] = ()
    ) -> None:
        self._environment, self._file, self._path = environment, raw, path
        self._in_force: dict[str, tuple[Head, dict[str, Any]]] = {}
        self._running = raw
        self.kept: list[Document] = []  # of which use is made
        self.notes: list[str] = []  # to be told once the node's log is there
        self._start(list(kept))
        config = self._read(self._running)
        self._file_discovery = config.discovery  # where the overlays name none
        if self._named():
            self._file_discovery = self._fallback(raw, config)
        self.live = Live(config.discovery, config.settings.connect_timeout_ms)

    def _start(self, kept: list[Document]) -> None:
        """Begin with what was in force, or without all of it where that no longer fits the file."""
        try:
            found = {d.head.scope: (d.head, parse(d.body)) for d in kept}
            merged = _merged(self._file, found)
            self._in_force = found
            self._read(merged)
        except ConfigError as error:
            self._in_force = {}
            scopes = ", ".join(d.head.scope for d in kept)
            self.notes.append(f"began without what was last in force ({scopes}): {error}")
            return
        self._running, self.kept = merged, kept

    def _fallback(self, raw: dict[str, Any], config: Config) -> tuple[str, int]:
        """Where discovery would be without the overlays; where that is said nowhere, it stays."""
        try:
            return read_config(self._environment, raw, self._path).discovery
        except ConfigError:
            return config.discovery

    # ------------------------------------------------------------ documents

    def propose(self, document: Document) -> Proposal:
        """Check a document; ConfigError, in a line that names the key, where the node cannot take it."""
        overlay = parse(document.body)
        proposed = {**self._in_force, document.head.scope: (document.head, overlay)}
        try:
            merged = _merged(self._file, proposed)
            for key in differences(self._running, merged):
                if key not in LIVE:
                    raise ConfigError(f"{key[:KEY]} cannot change while the node runs")
        except RecursionError:
            raise ConfigError("the document is nested too deeply") from None
        before, self._in_force = self._in_force, proposed
        try:
            config = self._read(merged)
            discovery = config.discovery if self._named() else self._file_discovery
        finally:
            self._in_force = before
        return Proposal(document, overlay, merged, Live(discovery, config.settings.connect_timeout_ms))

    def take(self, proposal: Proposal) -> None:
        """A proposal is in force."""
        self._in_force[proposal.document.head.scope] = proposal.document.head, proposal.overlay
        self._running, self.live = proposal.merged, proposal.live

    def heads(self) -> list[Head]:
        """Of the documents in force."""
        return [self._in_force[scope][0] for scope in order(self._in_force)]

    # ------------------------------------------------------------ the file, replaced by hand

    def rebase(self, discovery: tuple[str, int]) -> Live:
        """SIGHUP: the file names another discovery.  A document in force that names one goes before it."""
        self._file_discovery = discovery
        if not self._named():
            self.live = Live(discovery, self.live.connect_timeout_ms)
        return self.live

    def _named(self) -> bool:
        """Whether a document in force names discovery."""
        return "discovery" in _merged({}, self._in_force)

    @property
    def start(self) -> tuple[Mapping[str, str], dict[str, Any]]:
        """The environment and the file that the node starts with."""
        return self._seen(), self._running

    def _seen(self) -> Mapping[str, str]:
        """The environment goes before the file, and a document before both."""
        if not self._named():
            return self._environment
        return {key: value for key, value in self._environment.items() if key != "NODE_DISCOVERY"}

    def _read(self, merged: dict[str, Any]) -> Config:
        """By the node's own check; the list that the file holds has passed it, and no document changes it."""
        raw = {key: value for key, value in merged.items() if key != "known"}
        return read_config(self._seen(), raw, self._path)


def parse(body: bytes) -> dict[str, Any]:
    """The object that a document's body holds; ConfigError for anything else."""
    if len(body) > BYTES:
        raise ConfigError(f"the document has {len(body)} bytes, and a node takes {BYTES} at the most")
    try:
        overlay = json.loads(body, parse_constant=_no_constant)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"the document is no JSON: {error}") from None
    if not isinstance(overlay, dict):
        raise ConfigError("the document holds no object")
    return overlay


def _no_constant(text: str) -> float:
    raise ValueError(f"{text} is no JSON")


def patched(target: Any, patch: Any) -> Any:
    """RFC 7396; what the patch does not name is shared with the target, and nothing is changed in place."""
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = patched(result.get(key), value)
    return result


def _merged(raw: dict[str, Any], overlays: Mapping[str, tuple[Head, dict[str, Any]]]) -> dict[str, Any]:
    merged: Any = raw
    for scope in order(overlays):
        merged = patched(merged, overlays[scope][1])
    result: dict[str, Any] = merged
    return result


def differences(before: Any, after: Any, path: str = "") -> Iterator[str]:
    """The dotted names of what differs, in their order; equal numbers may be written unlike."""
    if before is after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted(before.keys() | after.keys()):
            name = f"{path}.{key}" if path else str(key)
            if key not in before or key not in after:
                yield name
            else:
                yield from differences(before[key], after[key], name)
    elif isinstance(before, list) and isinstance(after, list) and len(before) == len(after):
        for number, (one, other) in enumerate(zip(before, after, strict=True)):
            yield from differences(one, other, f"{path}.{number}")
    elif isinstance(before, bool) != isinstance(after, bool) or before != after:
        yield path


def checker(sample: str = "") -> Callable[[str, bytes], None]:
    """A publisher's check of scope and body: FeedError, in the line that a node would refuse it with.

    sample: a node's configuration file, which a document must fit as at a running node; without one only
    what no node at all could read is refused.  FeedError where the file is none.
    """
    try:
        raw = {**_ADDRESSES, **(read_file(sample) if sample else _LEAST)}
        node = Overlays({}, raw, sample)
    except ConfigError as error:
        raise FeedError(f"feed.sample: {error}") from None

    def check(scope: str, body: bytes) -> None:
        try:
            if sample:
                node.propose(make_document(scope, 0, 1, body, author="", reason="", writer=""))
            else:
                read_config({}, patched(raw, parse(body)), "")
        except (ConfigError, RecursionError) as error:
            raise FeedError(f"{scope}: {error}") from None

    return check
