"""Documents of the feed as overlays on a node's configuration file, each applied as a whole or rejected.

The body of a document is a JSON object, applied to the file as a JSON merge patch (RFC 7396: objects are
merged, null removes a key, any other value replaces), in the order all, region, service, node.  Nothing here
does I/O, except that `make_check` reads a file.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from crowpost.config_feed.documents import Document, DocumentHeader, make_document
from crowpost.config_feed.errors import FeedError
from crowpost.config_feed.scopes import order_scopes
from crowpost.node.configuration import Config, ConfigError, read_config, read_file

# Validation blocks the event loop, which must not be blocked for 5 ms.
MAX_DOCUMENT_BYTES = 32_768
MAX_KEY_CHARACTERS = 120  # longer keys are truncated in error messages
CONNECT_TIMEOUT_KEY = "settings.policyLimits.connectTimeoutMs"
DISCOVERY_KEY = "discovery"
DISCOVERY_VARIABLE = "NODE_DISCOVERY"
KNOWN_ENDPOINTS_KEY = "known"
# Settings that a running node can change without affecting a request.  All others are fixed in the decision
# module from its first event on, or are sizes of resources that are already open.
RELOADABLE_KEYS = frozenset({DISCOVERY_KEY, CONNECT_TIMEOUT_KEY})
# The smallest valid configuration, for a publisher that has no sample file of a node to validate with.
_MINIMAL_PROFILE = {"name": "any", "effect": "safe", "aimMs": 1.0, "deadlineMs": 1.0}
_MINIMAL_CONFIGURATION: dict[str, Any] = {
    "seed": "0",
    "limits": {"memory_mb": 64, "sockets": 64},
    "settings": {"profiles": [_MINIMAL_PROFILE]},
}
_SAMPLE_ADDRESSES = {"name": "sample", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:0"}

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class ReloadableSettings:
    """The values that may change while the node runs."""

    discovery: tuple[str, int]  # host and port
    connect_timeout_ms: float


@dataclass(frozen=True, slots=True)
class Overlay:
    """The header and the decoded body of an applied document."""

    header: DocumentHeader
    patch: JsonObject


@dataclass(frozen=True, slots=True)
class ProposedConfiguration:
    """A valid document, and the configuration of the node with the document applied."""

    overlay: Overlay
    merged: JsonObject
    reloadable: ReloadableSettings


@dataclass(frozen=True, slots=True)
class StartInputs:
    """The environment and the merged file that the node starts with."""

    environment: Mapping[str, str]
    raw: JsonObject


class ConfigurationOverlays:
    """The configuration that a node started with, and the documents applied to it.

    raw: the content of the file.  cached_documents: the documents that were applied when the previous process
    of the node ended.
    """

    def __init__(
        self,
        environment: Mapping[str, str],
        raw: JsonObject,
        path: str,
        cached_documents: Iterable[Document] = (),
    ) -> None:
        self._environment = environment
        self._file = raw
        self._path = path
        self._applied: dict[str, Overlay] = {}  # scope -> overlay
        self._running = raw
        self.cached_documents: list[Document] = []  # cached documents that are applied
        self.notes: list[str] = []  # log lines, to be written once the log of the node is open
        self._apply_cached(list(cached_documents))
        config = self._read(self._running)
        self._file_discovery = config.discovery  # discovery address while no overlay sets it
        if self._overlays_set_discovery():
            self._file_discovery = self._read_file_discovery(config)
        self.reloadable = ReloadableSettings(config.discovery, config.settings.connect_timeout_ms)

    def _apply_cached(self, documents: list[Document]) -> None:
        """Apply the cached documents, or none of them if they are no longer valid with the file."""
        try:
            overlays = {
                document.header.scope: Overlay(document.header, parse(document.body))
                for document in documents
            }
            merged = _merge(self._file, overlays)
            self._applied = overlays
            self._read(merged)
        except ConfigError as error:
            self._applied = {}
            scopes = ", ".join(document.header.scope for document in documents)
            self.notes.append(f"began without what was last in force ({scopes}): {error}")
            return
        self._running = merged
        self.cached_documents = documents

    def _read_file_discovery(self, config: Config) -> tuple[str, int]:
        """Return the discovery address without the overlays; the effective one if there is none."""
        try:
            return read_config(self._environment, self._file, self._path).discovery
        except ConfigError:
            return config.discovery

    # ------------------------------------------------------------ documents

    def propose(self, document: Document) -> ProposedConfiguration:
        """Validate a document.  Raise ConfigError, in one line that names the key, to reject it."""
        overlay = Overlay(document.header, parse(document.body))
        proposed = {**self._applied, document.header.scope: overlay}
        try:
            merged = _merge(self._file, proposed)
            self._check_reloadable(merged)
        except RecursionError as error:
            raise ConfigError("the document is nested too deeply") from error
        applied = self._applied
        self._applied = proposed
        try:
            config = self._read(merged)
            discovery = config.discovery if self._overlays_set_discovery() else self._file_discovery
        finally:
            self._applied = applied
        reloadable = ReloadableSettings(discovery, config.settings.connect_timeout_ms)
        return ProposedConfiguration(overlay, merged, reloadable)

    def _check_reloadable(self, merged: JsonObject) -> None:
        for key in differences(self._running, merged):
            if key not in RELOADABLE_KEYS:
                raise ConfigError(f"{key[:MAX_KEY_CHARACTERS]} cannot change while the node runs")

    def apply(self, proposal: ProposedConfiguration) -> None:
        """Make a proposed configuration the current one."""
        self._applied[proposal.overlay.header.scope] = proposal.overlay
        self._running = proposal.merged
        self.reloadable = proposal.reloadable

    def headers(self) -> list[DocumentHeader]:
        """Return the headers of the applied documents, widest scope first."""
        return [self._applied[scope].header for scope in order_scopes(self._applied)]

    # ------------------------------------------------------------ the file

    def rebase(self, discovery: tuple[str, int]) -> ReloadableSettings:
        """Change the discovery address of the file (SIGHUP); an applied document takes precedence over it."""
        self._file_discovery = discovery
        if not self._overlays_set_discovery():
            self.reloadable = ReloadableSettings(discovery, self.reloadable.connect_timeout_ms)
        return self.reloadable

    def _overlays_set_discovery(self) -> bool:
        return DISCOVERY_KEY in _merge({}, self._applied)

    @property
    def start_inputs(self) -> StartInputs:
        """The environment and the merged configuration that the node starts with."""
        return StartInputs(self._effective_environment(), self._running)

    def forget_endpoint_list(self) -> None:
        """Drop the last known endpoint list of the file, which only a start needs and which may be long."""
        self._file = {key: value for key, value in self._file.items() if key != KNOWN_ENDPOINTS_KEY}
        self._running = _merge(self._file, self._applied)

    def _effective_environment(self) -> Mapping[str, str]:
        """Return the environment without discovery if a document sets it.

        The environment takes precedence over the file, and a document over both.
        """
        if not self._overlays_set_discovery():
            return self._environment
        return {key: value for key, value in self._environment.items() if key != DISCOVERY_VARIABLE}

    def _read(self, merged: JsonObject) -> Config:
        """Return a merged configuration, validated without the endpoint list, which no document changes."""
        raw = {key: value for key, value in merged.items() if key != KNOWN_ENDPOINTS_KEY}
        return read_config(self._effective_environment(), raw, self._path)


def parse(body: bytes) -> JsonObject:
    """Return the JSON object in the body of a document.  Raise ConfigError for anything else."""
    if len(body) > MAX_DOCUMENT_BYTES:
        raise ConfigError(
            f"the document has {len(body)} bytes, and a node takes {MAX_DOCUMENT_BYTES} at the most"
        )
    try:
        overlay = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"the document is no JSON: {error}") from error
    if not isinstance(overlay, dict):
        raise ConfigError("the document holds no object")
    return overlay


def _reject_constant(text: str) -> float:
    raise ValueError(f"{text} is no JSON")


def patched(target: Any, patch: Any) -> Any:
    """Return a target with a JSON merge patch (RFC 7396) applied.

    Values that the patch does not contain are shared with the target; nothing is changed in place.
    """
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = patched(result.get(key), value)
    return result


def _merge(raw: JsonObject, overlays: Mapping[str, Overlay]) -> JsonObject:
    merged = raw
    for scope in order_scopes(overlays):
        merged = patched(merged, overlays[scope].patch)
    return merged


def differences(before: Any, after: Any, path: str = "") -> Iterator[str]:
    """Yield the dotted paths of values that differ, in order; 1 and 1.0 do not differ."""
    if before is after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        yield from _object_differences(before, after, path)
    elif isinstance(before, list) and isinstance(after, list) and len(before) == len(after):
        for number, (old, new) in enumerate(zip(before, after, strict=True)):
            yield from differences(old, new, f"{path}.{number}")
    elif isinstance(before, bool) != isinstance(after, bool) or before != after:
        yield path


def _object_differences(before: JsonObject, after: JsonObject, path: str) -> Iterator[str]:
    for key in sorted(before.keys() | after.keys()):
        name = f"{path}.{key}" if path else str(key)
        if key not in before or key not in after:
            yield name
        else:
            yield from differences(before[key], after[key], name)


def make_check(sample_file: str = "") -> Callable[[str, bytes], None]:
    """Return a check of scope and body for a publisher; it raises FeedError with the reason a node would log.

    sample_file: configuration file of a node; a document is validated against it as a running node would.
    Without a file, only documents that no node could read are rejected.  Raise FeedError if the file is
    invalid.
    """
    try:
        raw = {**_SAMPLE_ADDRESSES, **(read_file(sample_file) if sample_file else _MINIMAL_CONFIGURATION)}
        node = ConfigurationOverlays({}, raw, sample_file)
    except ConfigError as error:
        raise FeedError(f"feed.sample: {error}") from error

    def check(scope: str, body: bytes) -> None:
        try:
            if sample_file:
                node.propose(make_document(scope, 0, 1, body, author="", reason="", writer=""))
            else:
                read_config({}, patched(raw, parse(body)), "")
        except (ConfigError, RecursionError) as error:
            raise FeedError(f"{scope}: {error}") from error

    return check
