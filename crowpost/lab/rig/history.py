"""The event history of a fault-injection run, and the checks that read it afterwards.

A line is a JSON object with `at_ms` (the machine's monotonic clock, common to all processes), `from` (a
process, or `rig`) and `event`.  The checks read nothing else, so a saved history can be checked again.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

# Faults whose victims cannot be reached, so that declaring them dead is correct for a while.
UNREACHABLE_KINDS = ("partition", "one_way", "stop", "slow_link")
# A process may still be declared dead for this time after such a fault or after a restart.
RECOVERY_MS = 15_000.0
MAX_REACHABLE_LOSS = 0.5  # a loss of more than this share also counts as unreachable


class History:
    """Event lines in order of arrival; also written to a file if a path is given."""

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
        """Return the lines of a saved history."""
        return [json.loads(line) for line in path.read_text(encoding="utf-8").splitlines()]


@dataclass
class CheckResult:
    """The result of the checks; each breach is one line of text."""

    breaches: list[str] = field(default_factory=list)
    deaths: int = 0  # kills that lasted long enough to be detected
    # Time from a kill until the first process declared the victim dead.
    first_s: list[float] = field(default_factory=list)
    # Time from a kill until every reachable process had declared the victim dead.
    everywhere_s: list[float] = field(default_factory=list)
    changes: int = 0
    ended: int = 0  # unexpected exits
    states: int = 0  # state directories read after a power loss
    starts: int = 0  # starts after which a process was asked whether it serves or stays evacuated

    def to_json(self) -> dict[str, Any]:
        """Return the result as JSON values, with percentiles."""

        def percentile(values: list[float], percent: float) -> float | None:
            return round(float(np.percentile(values, percent)), 2) if values else None

        return {
            **asdict(self),
            "first_p50_s": percentile(self.first_s, 50),
            "first_p99_s": percentile(self.first_s, 99),
            "everywhere_p50_s": percentile(self.everywhere_s, 50),
            "everywhere_p99_s": percentile(self.everywhere_s, 99),
        }


@dataclass
class _Span:
    begin: float
    end: float = float("inf")


def check(lines: Iterable[dict[str, Any]]) -> CheckResult:
    """Check a complete history against the rules of membership and of stored state.

    No reachable process may be declared dead, every death has to be detected, and all views agree at the end.
    """
    result = CheckResult()
    excused: dict[str, list[_Span]] = {}  # when a process may be declared dead
    down: dict[str, list[_Span]] = {}
    declared_dead: list[tuple[float, str, str]] = []  # time in ms, observer, member
    final_views: dict[str, dict[str, Any]] = {}
    ordered = sorted(lines, key=lambda line: line["at_ms"])
    for line in ordered:
        at, source, event = line["at_ms"], line["from"], line["event"]
        if event == "trouble":
            if line["kind"] in UNREACHABLE_KINDS or (
                line["kind"] == "loss" and line["size"] > MAX_REACHABLE_LOSS
            ):
                names = {name for pair in line["links"] for name in pair} or set(line["victims"])
                for name in names:
                    excused.setdefault(name, []).append(_Span(at, line["until_ms"] + RECOVERY_MS))
        elif event == "down":
            down.setdefault(line["about"], []).append(_Span(at))
        elif event == "up":
            for span in down.get(line["about"], []):
                span.end = min(span.end, at)
        elif event == "ended":
            result.ended += 1
            result.breaches.append(f"{source} exited unexpectedly with {line['code']}: {line['words']}")
        elif event == "change":
            result.changes += 1
            if line["after"] == "dead":
                declared_dead.append((at, source, line["about"]))
        elif event == "final":
            final_views[source] = line
    _check_false_deaths(declared_dead, excused, down, result)
    _check_detections(declared_dead, excused, down, result)
    _check_final_views(final_views, result)
    _check_states(ordered, result)
    return result


def _check_states(lines: list[dict[str, Any]], result: CheckResult) -> None:
    """Check that durable state survives each power loss, and that an evacuated node stays evacuated."""
    # Permitted values of `emptied` at a start: one, or both while a request of staff is pending.
    permitted: dict[str, set[bool]] = {}
    before: dict[str, dict[str, Any]] = {}
    for line in lines:
        event, about = line["event"], line.get("about", "")
        if event == "asking":
            permitted.setdefault(about, {False}).add(line["emptied"])
        elif event == "asked":
            permitted[about] = {line["emptied"]}
        elif event == "unanswered":
            result.breaches.append(f"{about}: {line['words']}")
        elif event == "started":
            result.starts += 1
            if line["emptied"] not in permitted.get(about, {False}):
                result.breaches.append(
                    f"{about} {'is evacuated' if line['emptied'] else 'serves'} after a start"
                )
        elif event == "state":
            if "refused" in line:
                result.breaches.append(f"{about}: {line['when']} the power loss: {line['refused']}")
            elif line["when"] == "before":
                before[about] = line
            else:
                result.states += 1
                previous = before[about]
                if any(line[key] != previous[key] for key in ("last", "emptied", "incarnation")):
                    result.breaches.append(f"{about}: a power loss changed {previous} to {line}")


def _check_false_deaths(
    declared_dead: list[tuple[float, str, str]],
    excused: dict[str, list[_Span]],
    down: dict[str, list[_Span]],
    result: CheckResult,
) -> None:
    reported: set[str] = set()
    for at, observer, about in declared_dead:
        spans = excused.get(about, []) + excused.get(observer, [])
        if any(span.begin <= at <= span.end for span in spans):
            continue
        if any(span.begin <= at <= span.end + RECOVERY_MS for span in down.get(about, [])):
            continue
        if about not in reported:
            reported.add(about)
            result.breaches.append(
                f"{observer} declared {about} dead at {at:.0f} ms, though it was reachable"
            )


def _check_detections(
    declared_dead: list[tuple[float, str, str]],
    excused: dict[str, list[_Span]],
    down: dict[str, list[_Span]],
    result: CheckResult,
) -> None:
    """Check kills of at least 12 s; a shorter one may end before it is detected, which is no breach."""
    for about, spans in down.items():
        for span in spans:
            if span.end - span.begin < 12_000.0:
                continue
            result.deaths += 1
            detected_at = {
                observer: at
                for at, observer, member in reversed(declared_dead)
                if member == about and span.begin <= at <= span.end
            }
            # Processes that were themselves down or unreachable need not know in time.
            unavailability = [*down.items(), *excused.items()]
            unavailable = {
                name
                for name, other_spans in unavailability
                if any(other.begin < span.end and span.begin < other.end for other in other_spans)
            }
            if not detected_at:
                result.breaches.append(
                    f"no process detected that {about} was down from {span.begin:.0f} ms on"
                )
                continue
            result.first_s.append((min(detected_at.values()) - span.begin) / 1000.0)
            detection_times = [at for observer, at in detected_at.items() if observer not in unavailable]
            if detection_times:
                result.everywhere_s.append((max(detection_times) - span.begin) / 1000.0)


def _check_final_views(final_views: dict[str, dict[str, Any]], result: CheckResult) -> None:
    if not final_views:
        result.breaches.append("no process reported its view at the end")
        return
    for name, line in sorted(final_views.items()):
        if line.get("failed"):
            result.breaches.append(f"{name} did not report its view at the end: {line['failed']}")
    views = {name: line for name, line in final_views.items() if not line.get("failed")}
    running = set(final_views)
    for name, line in sorted(views.items()):
        present = set(line["present"])
        if present != running:
            missing, extra = sorted(running - present), sorted(present - running)
            result.breaches.append(
                f"{name} at the end lacks {missing or 'none'} and has {extra or 'none'} too many"
            )
    if len({line["digest"] for line in views.values()}) > 1:
        result.breaches.append("view digests differ at the end")
