"""One history of all processes of a storm, and the checks that read it afterwards.

A line is a JSON object with `at_ms` (the machine's monotonic clock, common to all processes), `from` (a
process, or `rig`) and `event`.  Checks look at nothing else, so a kept history can be checked again.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

NOT_REACHED = ("partition", "one_way", "stop", "slow_link")  # whose victims may be held dead for a while
AFTER_MS = 15_000.0  # after such a trouble, or after a process came back
REACHABLE_SIZE = 0.5  # loss beyond this part excuses a death, too


class History:
    """Lines in the order in which they came; kept in a file where one is named."""

    def __init__(self, path: Path | None = None) -> None:
        self.lines: list[dict[str, Any]] = []
        self._file = path.open("w", encoding="utf-8") if path is not None else None

    def add(self, source: str, event: str, at_ms: float, **values: object) -> None:
        """Append an event of a source at a time in ms."""
        line = {"at_ms": round(at_ms, 1), "from": source, "event": event, **values}
        self.lines.append(line)
        if self._file is not None:
            self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """Close the file, if there is one."""
        if self._file is not None:
            self._file.close()

    @staticmethod
    def read(path: Path) -> list[dict[str, Any]]:
        """The lines of a kept history."""
        return [json.loads(line) for line in path.read_text(encoding="utf-8").splitlines()]


@dataclass
class Verdict:
    """What the checks found; breaches are one line each."""

    breaches: list[str] = field(default_factory=list)
    deaths: int = 0  # kills that were long enough to be noticed
    first_s: list[float] = field(default_factory=list)  # from a kill until any process held it dead
    everywhere_s: list[float] = field(default_factory=list)  # and until all did that could
    changes: int = 0
    ended: int = 0  # processes that ended though nothing told them to
    states: int = 0  # state directories read after a power loss
    starts: int = 0  # starts after which a process was asked whether it stays empty

    def plain(self) -> dict[str, Any]:
        """As JSON values, with percentiles."""

        def at(values: list[float], part: float) -> float | None:
            return round(float(np.percentile(values, part)), 2) if values else None

        return {
            **asdict(self),
            "first_p50_s": at(self.first_s, 50),
            "first_p99_s": at(self.first_s, 99),
            "everywhere_p50_s": at(self.everywhere_s, 50),
            "everywhere_p99_s": at(self.everywhere_s, 99),
        }


@dataclass
class _Span:
    begin: float
    end: float = float("inf")


def check(lines: Iterable[dict[str, Any]]) -> Verdict:
    """Return what a whole history says of the rules.

    Nobody may die who could be reached, every death has to be noticed, and all views agree at the end.
    """
    verdict = Verdict()
    excused: dict[str, list[_Span]] = {}  # when a process may be held dead
    down: dict[str, list[_Span]] = {}
    told: list[tuple[float, str, str]] = []  # at, observer, about
    final: dict[str, dict[str, Any]] = {}
    ordered = sorted(lines, key=lambda line: line["at_ms"])
    for line in ordered:
        at, source, event = line["at_ms"], line["from"], line["event"]
        if event == "trouble":
            if line["kind"] in NOT_REACHED or (line["kind"] == "loss" and line["size"] > REACHABLE_SIZE):
                names = {name for pair in line["links"] for name in pair} or set(line["victims"])
                for name in names:
                    excused.setdefault(name, []).append(_Span(at, line["until_ms"] + AFTER_MS))
        elif event == "down":
            down.setdefault(line["about"], []).append(_Span(at))
        elif event == "up":
            for span in down.get(line["about"], []):
                span.end = min(span.end, at)
        elif event == "ended":
            verdict.ended += 1
            verdict.breaches.append(f"{source} ended by itself with {line['code']}: {line['words']}")
        elif event == "change":
            verdict.changes += 1
            if line["after"] == "dead":
                told.append((at, source, line["about"]))
        elif event == "final":
            final[source] = line
    _false_deaths(told, excused, down, verdict)
    _detections(told, excused, down, verdict)
    _one_view(final, verdict)
    _states(ordered, verdict)
    return verdict


def _states(lines: list[dict[str, Any]], verdict: Verdict) -> None:
    """What was kept is there after each power loss, and a node that staff have emptied stays so."""
    asked: dict[str, set[bool]] = {}  # what a process may hold: one value, two while staff are asking
    before: dict[str, dict[str, Any]] = {}
    for line in lines:
        event, about = line["event"], line.get("about", "")
        if event == "asking":
            asked.setdefault(about, {False}).add(line["emptied"])
        elif event == "asked":
            asked[about] = {line["emptied"]}
        elif event == "unanswered":
            verdict.breaches.append(f"{about}: {line['words']}")
        elif event == "started":
            verdict.starts += 1
            if line["emptied"] not in asked.get(about, {False}):
                verdict.breaches.append(
                    f"{about} {'is empty' if line['emptied'] else 'serves'} after a start"
                )
        elif event == "state":
            if "refused" in line:
                verdict.breaches.append(f"{about}: {line['when']} the power loss: {line['refused']}")
            elif line["when"] == "before":
                before[about] = line
            else:
                verdict.states += 1
                was = before[about]
                if any(line[key] != was[key] for key in ("last", "emptied", "incarnation")):
                    verdict.breaches.append(f"{about}: a power loss made {line} of {was}")


def _false_deaths(
    told: list[tuple[float, str, str]],
    excused: dict[str, list[_Span]],
    down: dict[str, list[_Span]],
    verdict: Verdict,
) -> None:
    seen: set[str] = set()
    for at, observer, about in told:
        spans = excused.get(about, []) + excused.get(observer, [])
        if any(s.begin <= at <= s.end for s in spans):
            continue
        if any(s.begin <= at <= s.end + AFTER_MS for s in down.get(about, [])):
            continue
        if about not in seen:
            seen.add(about)
            verdict.breaches.append(
                f"{observer} held {about} dead at {at:.0f} ms, though it could be reached"
            )


def _detections(
    told: list[tuple[float, str, str]],
    excused: dict[str, list[_Span]],
    down: dict[str, list[_Span]],
    verdict: Verdict,
) -> None:
    """Only of kills of at least 12 s: a shorter one may end before it is noticed, and is no fault then."""
    for about, spans in down.items():
        for span in spans:
            if span.end - span.begin < 12_000.0:
                continue
            verdict.deaths += 1
            when = {o: at for at, o, a in reversed(told) if a == about and span.begin <= at <= span.end}
            # Those that were themselves away, or cut off, need not know in time.
            apart = [*down.items(), *excused.items()]
            away = {n for n, s in apart if any(x.begin < span.end and span.begin < x.end for x in s)}
            if not when:
                verdict.breaches.append(f"nobody noticed that {about} was down from {span.begin:.0f} ms on")
                continue
            verdict.first_s.append((min(when.values()) - span.begin) / 1000.0)
            known = [at for observer, at in when.items() if observer not in away]
            if known:
                verdict.everywhere_s.append((max(known) - span.begin) / 1000.0)


def _one_view(final: dict[str, dict[str, Any]], verdict: Verdict) -> None:
    if not final:
        verdict.breaches.append("no process told its view at the end")
        return
    for name, line in sorted(final.items()):
        if line.get("failed"):
            verdict.breaches.append(f"{name} did not tell its view at the end: {line['failed']}")
    views = {name: line for name, line in final.items() if not line.get("failed")}
    running = set(final)
    for name, line in sorted(views.items()):
        held = set(line["present"])
        if held != running:
            lacks, extra = sorted(running - held), sorted(held - running)
            verdict.breaches.append(
                f"{name} at the end lacks {lacks or 'none'} and holds {extra or 'none'} too many"
            )
    if len({line["digest"] for line in views.values()}) > 1:
        verdict.breaches.append("digests differ at the end")
