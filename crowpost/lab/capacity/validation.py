"""Checks that every entry of the records is supported by a run."""

from __future__ import annotations

from crowpost.lab.capacity.lines import can_fit, coordinates, fit_line, fitted_points
from crowpost.lab.capacity.records import FORMS, SOURCES, Records, Slopes

# Largest difference between a recorded line and the one fitted to its points, as a part of the largest value.
FIT_TOLERANCE = 0.02


def unsupported_entries(records: Records) -> list[str]:
    """Return one line for each entry of the records that no run supports."""
    found = []
    for name, record in (("slopes", records.slopes), ("overhead", records.overhead)):
        if record is not None and not (record.revision and record.at):
            found.append(f"{name}.json: names no revision or date")
    if records.slopes is not None:
        if not records.slopes.command:
            found.append("slopes.json: names no command")
        for name in records.slopes.duties:
            found += [f"slopes.json, {name}: {text}" for text in _unsupported_in_duty(records.slopes, name)]
        for fault in records.slopes.troubles:
            if not any(source in fault.source for source in SOURCES) or fault.members < 1:
                found.append(f"slopes.json, trouble {fault.kind}: no source or no members")
    for index, run in enumerate(records.overhead.runs if records.overhead else ()):
        if run.requests < 1:
            found.append(f"overhead.json, run {index}: no requests were made")
    for index, entry in enumerate(records.feed.runs if records.feed else ()):
        if records.feed and not (entry.revision or records.feed.revision):
            found.append(
                f"feed.json, run {index} ({entry.source}, {entry.case}, {entry.nodes}): names no revision"
            )
        if entry.source not in SOURCES or entry.nodes < 1:
            found.append(f"feed.json, run {index}: no source or no nodes")
    return found


def _unsupported_in_duty(slopes: Slopes, name: str) -> list[str]:
    found = []
    duty = slopes.duties[name]
    for point in duty.points:
        if point.source not in SOURCES or point.seconds <= 0.0:
            found.append(f"the point at {point.x:g} has no source or no seconds")
    for measure, fit in duty.fits.items():
        xs, ys = coordinates(fitted_points(slopes, name, measure, fit), measure, fit)
        if fit.form not in FORMS:
            found.append(f"{measure} as {fit.form}: no such form")
        elif not can_fit(fit.form, xs, ys):
            found.append(f"the fit of {measure} has {len(xs)} points of {fit.source} behind it")
        else:
            intercept, slope = fit_line(
                "linear", xs, ys
            )  # The record holds the straight line, whichever form fits better.
            largest = max(max(abs(value) for value in ys), 1e-12)
            for x in xs:
                recorded = fit.intercept[0] + fit.slope[0] * x
                if abs(recorded - intercept - slope * x) > FIT_TOLERANCE * largest:
                    found.append(f"the fit of {measure} is not what its points give at {x:g}")
                    break
    return found
