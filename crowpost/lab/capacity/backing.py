"""Whether there is a run behind what the records tell."""

from __future__ import annotations

from crowpost.lab.capacity.lines import fits, line, points_of, values
from crowpost.lab.capacity.records import FORMS, SOURCES, Records, Slopes

TOLD_APART = 0.02  # of the largest value: by more a fit is not the one that its points give


def unbacked(records: Records) -> list[str]:
    """One line for each thing in the records that no run stands behind."""
    found = []
    for name, record in (("slopes", records.slopes), ("overhead", records.overhead)):
        if record is not None and not (record.revision and record.at):
            found.append(f"{name}.json: names no revision or date")
    if records.slopes is not None:
        if not records.slopes.command:
            found.append("slopes.json: names no command")
        for name in records.slopes.duties:
            found += [f"slopes.json, {name}: {line}" for line in _unbacked_duty(records.slopes, name)]
        for t in records.slopes.troubles:
            if not any(source in t.source for source in SOURCES) or t.members < 1:
                found.append(f"slopes.json, trouble {t.kind}: no source or no members")
    for i, run in enumerate(records.overhead.runs if records.overhead else ()):
        if run.requests < 1:
            found.append(f"overhead.json, run {i}: no requests were made")
    for i, one in enumerate(records.feed.runs if records.feed else ()):
        if records.feed and not (one.revision or records.feed.revision):
            found.append(f"feed.json, run {i} ({one.source}, {one.case}, {one.nodes}): names no revision")
        if one.source not in SOURCES or one.nodes < 1:
            found.append(f"feed.json, run {i}: no source or no nodes")
    return found


def _unbacked_duty(slopes: Slopes, name: str) -> list[str]:
    found = []
    duty = slopes.duties[name]
    for p in duty.points:
        if p.source not in SOURCES or p.seconds <= 0.0:
            found.append(f"the point at {p.x:g} has no source or no seconds")
    for measure, fit in duty.fits.items():
        xs, ys = values(points_of(slopes, name, measure, fit), measure, fit)
        if fit.form not in FORMS:
            found.append(f"{measure} as {fit.form}: no such form")
        elif not fits(fit.form, xs, ys):
            found.append(f"the fit of {measure} has {len(xs)} points of {fit.source} behind it")
        else:
            intercept, slope = line("linear", xs, ys)  # the record holds the line, whatever form fits better
            most = max(max(abs(y) for y in ys), 1e-12)
            for x in xs:
                told = fit.intercept[0] + fit.slope[0] * x
                if abs(told - intercept - slope * x) > TOLD_APART * most:
                    found.append(f"the fit of {measure} is not what its points give at {x:g}")
                    break
    return found
