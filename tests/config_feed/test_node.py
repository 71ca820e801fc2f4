"""A node that follows the feed: configuration overlays, the document cache and the [feed] table."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from crowpost.config_feed.document_cache import DocumentCache
from crowpost.config_feed.documents import Document, make_document
from crowpost.config_feed.errors import FeedError
from crowpost.node.configuration import ConfigError, load
from crowpost.node.configuration_overlays import ConfigurationOverlays, patched
from tests.node.stubs import HOST, listing, row, settings

FILE_DISCOVERY, DOCUMENT_DISCOVERY = (HOST, 8500), (HOST, 8501)
OWNER = ("c", "n0")


def node_configuration(**changes: Any) -> dict[str, Any]:
    """Return the content of a node's configuration file."""
    return {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": f"{HOST}:8500",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": listing(1, row("a", f"{HOST}:9")),
        "settings": settings(),
        **changes,
    }


def document(body: object, scope: str = "all", version: int = 1) -> Document:
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return make_document(scope, 0, version, raw, author="ann", reason="why not", writer="p")


def discovery_patch(port: int) -> dict[str, Any]:
    return {"discovery": f"{HOST}:{port}"}


def connect_timeout_patch(ms: float) -> dict[str, Any]:
    return {"settings": {"policyLimits": {"connectTimeoutMs": ms}}}


def apply(overlays: ConfigurationOverlays, *documents: Document) -> None:
    for item in documents:
        overlays.apply(overlays.propose(item))


# ---------------------------------------------------------------- overlays


def test_merge_patch_returns_the_merged_object_and_does_not_modify_the_target() -> None:
    """Checks those examples of RFC 7396, appendix A, that differ in kind."""
    for target, patch, result in (
        ({"a": "b"}, {"a": "c"}, {"a": "c"}),
        ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
        ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
        ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
        ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
        ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
        ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
    ):
        before = json.dumps(target)
        assert patched(target, patch) == result
        assert json.dumps(target) == before


def test_narrower_scope_overrides_wider_scope_in_any_order_of_arrival() -> None:
    documents = [
        document(discovery_patch(1), "all"),
        document(discovery_patch(2), "region/north"),
        document(discovery_patch(3), "service/cart"),
        document(discovery_patch(4), "node/n0"),
    ]
    for ordered in (documents, documents[::-1], documents[1:3] + documents[:1] + documents[3:]):
        overlays = ConfigurationOverlays({}, node_configuration(), "")
        apply(overlays, *ordered)
        assert overlays.reloadable.discovery == (HOST, 4)
        apply(overlays, document({}, "node/n0", 2))
        assert overlays.reloadable.discovery == (
            HOST,
            3,
        ), "without a value in the narrower scope the wider one applies"


@pytest.mark.parametrize(
    ("body", "expected_error"),
    [
        ({"settings": {"tickMs": 9.0}}, "settings.tickMs cannot change while the node runs"),
        ({"limits": {"sockets": 300}}, "limits.sockets cannot change while the node runs"),
        ({"seed": "2"}, "seed cannot change while the node runs"),
        ({"remark": "x"}, "remark cannot change while the node runs"),
        ({"settings": {"policyLimits": None}}, "settings.policyLimits cannot change while the node runs"),
        ({"settings": {"profiles": []}}, "settings.profiles cannot change while the node runs"),
        ({"known": None, **discovery_patch(8501)}, "known cannot change while the node runs"),
        (
            {**discovery_patch(8501), **connect_timeout_patch(-1.0)},
            "settings: policyLimits.connectTimeoutMs is out of range: -1.0",
        ),
        ({"discovery": "nowhere"}, "NODE_DISCOVERY is not an address and a port: 'nowhere'"),
        ([1], "the document holds no object"),
        (b"{", "the document is no JSON: "),
        (b'{"discovery": "\xff"}', "the document is no JSON: "),
        (b'{"settings": {"tickMs": NaN}}', "the document is no JSON: NaN"),
        (b'{"a":' * 5_000 + b"1" + b"}" * 5_000, "the document is no JSON: "),
        (b" " * 32_767 + b"{}", "the document has 32769 bytes, and a node takes 32768 at the most"),
        (b'{"a":' * 600 + b"1" + b"}" * 600, "a cannot change while the node runs"),
    ],
)
def test_invalid_document_is_rejected_as_a_whole_with_its_key(body: Any, expected_error: str) -> None:
    overlays = ConfigurationOverlays({}, node_configuration(), "")
    before = overlays.reloadable
    with pytest.raises(ConfigError) as error:
        overlays.propose(document(body))
    assert str(error.value).startswith(expected_error)
    assert overlays.reloadable == before and not overlays.headers()
    apply(overlays, document(connect_timeout_patch(70.0)))
    assert overlays.reloadable.connect_timeout_ms == 70.0, "a rejection does not affect the next document"


def test_a_document_that_repeats_values_of_the_file_is_applied() -> None:
    overlays = ConfigurationOverlays({}, node_configuration(), "")
    apply(
        overlays, document({"settings": {"tickMs": 5, "azs": ["hall"]}, "seed": "1", **discovery_patch(8501)})
    )
    assert overlays.reloadable.discovery == DOCUMENT_DISCOVERY
    with pytest.raises(ConfigError, match="settings.policyLimits.cancel"):
        overlays.propose(document({"settings": {"policyLimits": {"cancel": 1}}}, version=2))


def test_document_overrides_the_file_and_the_file_the_environment() -> None:
    overlays = ConfigurationOverlays({"NODE_DISCOVERY": f"{HOST}:1"}, node_configuration(), "")
    assert overlays.reloadable.discovery == (HOST, 1)
    assert overlays.rebase((HOST, 2)).discovery == (HOST, 2), "after SIGHUP, without a document"
    apply(overlays, document(discovery_patch(8501)))
    assert overlays.rebase((HOST, 3)).discovery == DOCUMENT_DISCOVERY, "after SIGHUP, with a document"
    apply(overlays, document({}, version=2))
    assert overlays.reloadable.discovery == (HOST, 3), "the value of the reloaded file"
    apply(overlays, document(connect_timeout_patch(70.0), version=3))
    assert (
        overlays.rebase((HOST, 4)).discovery == (HOST, 4) and overlays.reloadable.connect_timeout_ms == 70.0
    )


def test_node_starts_with_its_cached_documents_or_without_them_if_one_is_invalid() -> None:
    cached = [document(discovery_patch(8501)), document(connect_timeout_patch(70.0), "node/n0")]
    overlays = ConfigurationOverlays({"NODE_DISCOVERY": f"{HOST}:1"}, node_configuration(), "", cached)
    assert (
        overlays.reloadable.discovery == DOCUMENT_DISCOVERY and overlays.reloadable.connect_timeout_ms == 70.0
    )
    assert overlays.cached_documents == cached and not overlays.notes
    apply(overlays, document({}, version=2))
    assert overlays.reloadable.discovery == (HOST, 1)
    for invalid in (
        document(b"?"),
        document({"discovery": "nowhere"}),
        document({"settings": {"profiles": []}}),
    ):
        overlays = ConfigurationOverlays({}, node_configuration(), "", [*cached[1:], invalid])
        assert (
            overlays.reloadable.discovery == FILE_DISCOVERY
            and overlays.cached_documents == []
            and not overlays.headers()
        )
        assert overlays.notes[0].startswith("began without what was last in force (node/n0, all): ")


# ---------------------------------------------------------------- document cache


def test_the_cache_returns_the_last_document_of_each_scope_and_notes_damage(tmp_path: Path) -> None:
    cache = DocumentCache(tmp_path / "feed", OWNER)
    assert cache.load() == ([], [])
    older, newer, other = (
        document({}),
        document(connect_timeout_patch(70.0), version=2),
        document({}, "service/cart"),
    )
    for item in (older, other, newer):
        cache.store(item)
    assert cache.load() == ([newer, other], [])
    assert sorted(p.name for p in (tmp_path / "feed").iterdir()) == ["all.document", "service=cart.document"]
    intact = (tmp_path / "feed" / "all.document").read_bytes()
    for damaged in (b"", intact[:-1], intact[:-3] + b"xxx", b"\xc1", intact + b"x"):
        (tmp_path / "feed" / "all.document").write_bytes(damaged)
        documents, notes = cache.load()
        assert documents == [other] and notes[0].startswith("all.document is damaged"), damaged
    with pytest.raises(FeedError, match="belongs to 'n0' of 'c'"):
        DocumentCache(tmp_path / "feed", ("c", "n1")).load()
    with pytest.raises(FeedError, match="No such file"):
        DocumentCache(tmp_path / "no" / "feed", OWNER).load()


def test_a_write_that_fails_leaves_the_last_document_intact(tmp_path: Path) -> None:
    cache = DocumentCache(tmp_path, OWNER)
    cache.store(document({}))
    (tmp_path / "all.document").rename(tmp_path / "kept")
    (tmp_path / "all.document").mkdir()  # a file cannot be renamed to the name of a directory
    with pytest.raises(IsADirectoryError):
        cache.store(document({}, version=2))
    (tmp_path / "all.document").rmdir()
    (tmp_path / "kept").rename(tmp_path / "all.document")
    assert cache.load() == ([document({})], [])
    assert [p.name for p in tmp_path.iterdir()] == ["all.document"]


# ---------------------------------------------------------------- configuration


def feed_file(path: Path, **options: str) -> Path:
    lines = {"cluster": '"c"', "region": '"north"', "service": '"cart"', **options}
    text = "[feed]\n" + "".join(f"{key} = {value}\n" for key, value in lines.items())
    (path / "feed.toml").write_text(text + f'[[feed.upstreams]]\naddress = "{HOST}:9"\n')
    return path / "feed.toml"


def environment(path: Path, feed: Path | str) -> dict[str, str]:
    (path / "config.json").write_text(json.dumps(node_configuration()))
    return {"NODE_NAME": "n0", "NODE_CONFIG": str(path / "config.json"), "NODE_FEED": str(feed)}


def test_a_node_reads_its_feed_and_the_cached_documents_of_its_scopes(tmp_path: Path) -> None:
    variables = environment(tmp_path, feed_file(tmp_path, directory=f'"{tmp_path / "feed"}"'))
    cache = DocumentCache(tmp_path / "feed", OWNER)
    assert load(variables).discovery == FILE_DISCOVERY
    cache.store(document(discovery_patch(8501), "service/cart"))
    cache.store(
        document(discovery_patch(8502), "service/other")
    )  # cached while the node belonged to another service
    config = load(variables)
    assert config.feed is not None and config.overlays is not None
    assert (
        config.discovery == DOCUMENT_DISCOVERY and config.overlays.reloadable.discovery == DOCUMENT_DISCOVERY
    )
    assert [h.scope for h in config.overlays.headers()] == ["service/cart"]
    assert load({**variables, "NODE_DISCOVERY": f"{HOST}:1"}).discovery == DOCUMENT_DISCOVERY
    assert load({**variables, "NODE_FEED": ""}).discovery == FILE_DISCOVERY
    variables["NODE_NAME"] = "n1"
    with pytest.raises(ConfigError, match="NODE_FEED: .* belongs to 'n0' of 'c'"):
        load(variables)


@pytest.mark.parametrize(
    ("options", "expected_error"),
    [
        ({"role": '"relay"', "listen": '"h:1"'}, "feed.role: must be node here, not 'relay'"),
        ({"name": '"a/b"'}, "feed.name: letters, digits and ._- only, not 'a/b'"),
        ({"cluster": '""'}, "feed.cluster: is missing"),
        ({"region": "1"}, "feed.region: a text, not 1"),
        ({"colour": "1"}, "feed.colour: no such key; known are cluster"),
        ({"tuning": "{beat_ms = 0}"}, "feed.tuning.beat_ms: a number from 0.001 to 1e+09, not 0"),
        ({"tuning": "{watches = 1.5}"}, "feed.tuning.watches: a whole number, not 1.5"),
    ],
)
def test_invalid_feed_file_is_reported_with_file_and_key(
    tmp_path: Path, options: dict[str, str], expected_error: str
) -> None:
    path = feed_file(tmp_path, **options)
    with pytest.raises(ConfigError) as error:
        load(environment(tmp_path, path))
    assert str(error.value).startswith(f"NODE_FEED: {path}: {expected_error}")


def test_without_feed_none_of_its_modules_is_imported() -> None:
    modules = (
        "crowpost.feed",
        "crowpost.config_feed",
        "crowpost.node.config_feed",
        "crowpost.node.configuration_overlays",
        "msgpack",
        "google_crc32c",
    )
    script = f"import sys, crowpost.__main__; print([m for m in sys.modules if m.startswith({modules!r})])"
    result = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert result.stdout.strip() == "[]"
