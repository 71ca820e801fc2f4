"""A node on the feed: overlays taken whole or refused, the file replaced by hand, what a restart finds."""

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

FILE, FED = (HOST, 8500), (HOST, 8501)
OWNER = ("c", "n0")


def file(**changes: Any) -> dict[str, Any]:
    """A node's configuration file."""
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


def discovery(port: int) -> dict[str, Any]:
    return {"discovery": f"{HOST}:{port}"}


def connect(ms: float) -> dict[str, Any]:
    return {"settings": {"policyLimits": {"connectTimeoutMs": ms}}}


def take(overlays: ConfigurationOverlays, *documents: Document) -> None:
    for one in documents:
        overlays.apply(overlays.propose(one))


# ---------------------------------------------------------------- overlays


def test_a_patch_merges_objects_replaces_the_rest_and_changes_nothing_in_place() -> None:
    """The examples of RFC 7396, appendix A, that differ in kind."""
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


def test_the_narrower_scope_goes_over_the_wider_in_whatever_order_they_come() -> None:
    documents = [
        document(discovery(1), "all"),
        document(discovery(2), "region/north"),
        document(discovery(3), "service/cart"),
        document(discovery(4), "node/n0"),
    ]
    for some in (documents, documents[::-1], documents[1:3] + documents[:1] + documents[3:]):
        overlays = ConfigurationOverlays({}, file(), "")
        take(overlays, *some)
        assert overlays.reloadable.discovery == (HOST, 4)
        take(overlays, document({}, "node/n0", 2))
        assert overlays.reloadable.discovery == (
            HOST,
            3,
        ), "the scope that names nothing lets the wider one through"


@pytest.mark.parametrize(
    ("body", "said"),
    [
        ({"settings": {"tickMs": 9.0}}, "settings.tickMs cannot change while the node runs"),
        ({"limits": {"sockets": 300}}, "limits.sockets cannot change while the node runs"),
        ({"seed": "2"}, "seed cannot change while the node runs"),
        ({"remark": "x"}, "remark cannot change while the node runs"),
        ({"settings": {"policyLimits": None}}, "settings.policyLimits cannot change while the node runs"),
        ({"settings": {"profiles": []}}, "settings.profiles cannot change while the node runs"),
        ({"known": None, **discovery(8501)}, "known cannot change while the node runs"),
        (
            {**discovery(8501), **connect(-1.0)},
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
def test_what_a_running_node_cannot_apply_is_rejected_as_a_whole_and_names_the_key(
    body: Any, said: str
) -> None:
    overlays = ConfigurationOverlays({}, file(), "")
    before = overlays.reloadable
    with pytest.raises(ConfigError) as error:
        overlays.propose(document(body))
    assert str(error.value).startswith(said)
    assert overlays.reloadable == before and not overlays.headers()
    take(overlays, document(connect(70.0)))
    assert overlays.reloadable.connect_timeout_ms == 70.0, "and the next one is not held against it"


def test_a_document_that_repeats_values_of_the_file_is_applied() -> None:
    overlays = ConfigurationOverlays({}, file(), "")
    take(overlays, document({"settings": {"tickMs": 5, "azs": ["hall"]}, "seed": "1", **discovery(8501)}))
    assert overlays.reloadable.discovery == FED
    with pytest.raises(ConfigError, match="settings.policyLimits.cancel"):
        overlays.propose(document({"settings": {"policyLimits": {"cancel": 1}}}, version=2))


def test_a_document_goes_before_the_file_and_the_file_before_the_environment() -> None:
    overlays = ConfigurationOverlays({"NODE_DISCOVERY": f"{HOST}:1"}, file(), "")
    assert overlays.reloadable.discovery == (HOST, 1)
    assert overlays.rebase((HOST, 2)).discovery == (HOST, 2), "SIGHUP, without a document"
    take(overlays, document(discovery(8501)))
    assert overlays.rebase((HOST, 3)).discovery == FED, "SIGHUP, with one"
    take(overlays, document({}, version=2))
    assert overlays.reloadable.discovery == (HOST, 3), "as the file says since"
    take(overlays, document(connect(70.0), version=3))
    assert (
        overlays.rebase((HOST, 4)).discovery == (HOST, 4) and overlays.reloadable.connect_timeout_ms == 70.0
    )


def test_a_node_begins_with_what_was_in_force_and_without_it_where_it_no_longer_fits() -> None:
    kept = [document(discovery(8501)), document(connect(70.0), "node/n0")]
    overlays = ConfigurationOverlays({"NODE_DISCOVERY": f"{HOST}:1"}, file(), "", kept)
    assert overlays.reloadable.discovery == FED and overlays.reloadable.connect_timeout_ms == 70.0
    assert overlays.cached_documents == kept and not overlays.notes
    take(overlays, document({}, version=2))
    assert overlays.reloadable.discovery == (HOST, 1)
    for bad in (document(b"?"), document({"discovery": "nowhere"}), document({"settings": {"profiles": []}})):
        overlays = ConfigurationOverlays({}, file(), "", [*kept[1:], bad])
        assert (
            overlays.reloadable.discovery == FILE
            and overlays.cached_documents == []
            and not overlays.headers()
        )
        assert overlays.notes[0].startswith("began without what was last in force (node/n0, all): ")


# ---------------------------------------------------------------- the disk


def test_the_cache_returns_the_last_document_of_each_scope_and_notes_damage(tmp_path: Path) -> None:
    shelf = DocumentCache(tmp_path / "feed", OWNER)
    assert shelf.load() == ([], [])
    older, newer, other = document({}), document(connect(70.0), version=2), document({}, "service/cart")
    for one in (older, other, newer):
        shelf.store(one)
    assert shelf.load() == ([newer, other], [])
    assert sorted(p.name for p in (tmp_path / "feed").iterdir()) == ["all.document", "service=cart.document"]
    whole = (tmp_path / "feed" / "all.document").read_bytes()
    for bad in (b"", whole[:-1], whole[:-3] + b"xxx", b"\xc1", whole + b"x"):
        (tmp_path / "feed" / "all.document").write_bytes(bad)
        documents, notes = shelf.load()
        assert documents == [other] and notes[0].startswith("all.document is damaged"), bad
    with pytest.raises(FeedError, match="belongs to 'n0' of 'c'"):
        DocumentCache(tmp_path / "feed", ("c", "n1")).load()
    with pytest.raises(FeedError, match="No such file"):
        DocumentCache(tmp_path / "no" / "feed", OWNER).load()


def test_a_write_that_fails_leaves_the_last_document_intact(tmp_path: Path) -> None:
    shelf = DocumentCache(tmp_path, OWNER)
    shelf.store(document({}))
    (tmp_path / "all.document").rename(tmp_path / "kept")
    (tmp_path / "all.document").mkdir()  # nothing can be renamed onto it
    with pytest.raises(IsADirectoryError):
        shelf.store(document({}, version=2))
    (tmp_path / "all.document").rmdir()
    (tmp_path / "kept").rename(tmp_path / "all.document")
    assert shelf.load() == ([document({})], [])
    assert [p.name for p in tmp_path.iterdir()] == ["all.document"]


# ---------------------------------------------------------------- configuration


def feed_file(path: Path, **more: str) -> Path:
    lines = {"cluster": '"c"', "region": '"north"', "service": '"cart"', **more}
    text = "[feed]\n" + "".join(f"{key} = {value}\n" for key, value in lines.items())
    (path / "feed.toml").write_text(text + f'[[feed.upstreams]]\naddress = "{HOST}:9"\n')
    return path / "feed.toml"


def environment(path: Path, feed: Path | str) -> dict[str, str]:
    (path / "config.json").write_text(json.dumps(file()))
    return {"NODE_NAME": "n0", "NODE_CONFIG": str(path / "config.json"), "NODE_FEED": str(feed)}


def test_a_node_reads_its_feed_and_the_cached_documents_of_its_scopes(tmp_path: Path) -> None:
    told = environment(tmp_path, feed_file(tmp_path, directory=f'"{tmp_path / "feed"}"'))
    shelf = DocumentCache(tmp_path / "feed", OWNER)
    assert load(told).discovery == FILE
    shelf.store(document(discovery(8501), "service/cart"))
    shelf.store(document(discovery(8502), "service/other"))  # from when the node served that
    config = load(told)
    assert config.feed is not None and config.overlays is not None
    assert config.discovery == FED and config.overlays.reloadable.discovery == FED
    assert [h.scope for h in config.overlays.headers()] == ["service/cart"]
    assert load({**told, "NODE_DISCOVERY": f"{HOST}:1"}).discovery == FED
    assert load({**told, "NODE_FEED": ""}).discovery == FILE
    told["NODE_NAME"] = "n1"
    with pytest.raises(ConfigError, match="NODE_FEED: .* belongs to 'n0' of 'c'"):
        load(told)


@pytest.mark.parametrize(
    ("more", "said"),
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
def test_what_a_feed_file_cannot_mean_is_said_with_file_and_key(
    tmp_path: Path, more: dict[str, str], said: str
) -> None:
    path = feed_file(tmp_path, **more)
    with pytest.raises(ConfigError) as error:
        load(environment(tmp_path, path))
    assert str(error.value).startswith(f"NODE_FEED: {path}: {said}")


def test_with_no_feed_nothing_of_it_is_imported() -> None:
    parts = (
        "crowpost.feed",
        "crowpost.config_feed",
        "crowpost.node.config_feed",
        "crowpost.node.configuration_overlays",
        "msgpack",
        "google_crc32c",
    )
    code = f"import sys, crowpost.__main__; print([m for m in sys.modules if m.startswith({parts!r})])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
