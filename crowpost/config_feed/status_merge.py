"""Merges the statuses of several distribution servers; the keys are those of the wire format."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from crowpost.config_feed.scopes import scopes_for_node

StatusMap = Mapping[str, Any]


def merge_statuses(statuses: Iterable[StatusMap]) -> dict[str, Any]:
    """Return the merged status of several servers.

    If several servers know a follower, the report with the highest counter is valid; of two instances of one
    name, the one that sent a message last.  Keys: `heads` by scope (the header of the highest rank),
    `conflicts`, and `followers` by name, each with `lags` (scopes in which its document is not the one of the
    highest rank) and `refused` (reason of the rejection by scope).
    """
    headers: dict[str, dict[str, Any]] = {}
    conflicts: list[Any] = []
    followers: dict[str, dict[str, Any]] = {}
    for status in statuses:
        for header in status["heads"]:
            _merge_header(headers, header)
        conflicts += [conflict for conflict in status["conflicts"] if conflict not in conflicts]
        for follower in status["followers"]:
            _merge_follower(followers, follower)
    for follower in followers.values():
        _add_lags(follower, headers)
    return {"heads": headers, "conflicts": conflicts, "followers": dict(sorted(followers.items()))}


def _merge_header(headers: dict[str, dict[str, Any]], header: StatusMap) -> None:
    known = headers.get(header["scope"])
    if known is None or _rank(header) > _rank(known):
        headers[header["scope"]] = dict(header)


def _merge_follower(followers: dict[str, dict[str, Any]], follower: StatusMap) -> None:
    known = followers.get(follower["name"])
    if known is None or _is_later(follower, known):
        linked = bool(known and known["linked"] and known["birth"] == follower["birth"])
        followers[follower["name"]] = {**follower, "linked": follower["linked"] or linked}
    elif known["birth"] == follower["birth"]:
        known["linked"] = known["linked"] or follower["linked"]
        known["age_ms"] = min(known["age_ms"], follower["age_ms"])


def _add_lags(follower: dict[str, Any], headers: Mapping[str, StatusMap]) -> None:
    statuses = {status["scope"]: status for status in follower["standings"]}
    follower["lags"] = [
        scope
        for scope, header in sorted(headers.items())
        if _is_watched(scope, follower) and (scope not in statuses or _is_behind(statuses[scope], header))
    ]
    follower["refused"] = {
        scope: status["why"] for scope, status in sorted(statuses.items()) if status["state"] == "refused"
    }


def _rank(header: StatusMap) -> tuple[int, int, str, str]:
    return header["era"], header["version"], header["writer"], header["digest"]


def _is_later(follower: StatusMap, known: StatusMap) -> bool:
    if follower["birth"] == known["birth"]:
        return bool((follower["counter"], -follower["age_ms"]) > (known["counter"], -known["age_ms"]))
    return bool(follower["age_ms"] < known["age_ms"])


def _is_behind(status: StatusMap, header: StatusMap) -> bool:
    fields = ("era", "version", "digest")
    return any(status[name] != header[name] for name in fields)


def _is_watched(scope: str, follower: StatusMap) -> bool:
    if follower["role"] != "node":
        return True
    return scope in scopes_for_node(follower["region"], follower["service"], follower["name"])
