"""Slows what disturbs serving tasks, as soon as one of them nears its target.

While a serving task is near its target, the runs beside it are slowed, but for those
whose images are known to be harmless to it; if that does not help, they too. When what
a run may harm is well, it gets its speed back in steps.
"""

from __future__ import annotations

from dataclasses import replace

from bulrushpulley.entities.jobs.executor_calls import (
    PaceAnswered,
    PaceFailed,
    PaceRun,
)
from bulrushpulley.entities.jobs.items import HarmVerdicts
from bulrushpulley.entities.jobs.keeper_tables import (
    KeeperStep,
    KeeperTables,
    Pacing,
    Run,
    RunPhase,
)
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.keeping import edits

# Measures cover the last half second, so acting more often would act on old ones.
DECIDE_S = 0.5
# Parts of the target: above the first a task is about to miss it, below the second
# there is room to give speed back.
NEAR = 0.95
WELL = 0.8
SLOWER = 0.5
# After this time near the target nobody is held to be harmless any more, and after the
# second nothing that may disturb works at all: many slow runs together still do harm,
# and a task may be over its target for 4 s at most.
DOUBT_S = 0.9
STOP_S = 1.5
FASTER_PERCENT = 15
LEAST_PERCENT = 5
# What a run begins with beside a task that it is known to slow, or may slow.
KNOWN_START_PERCENT = 20
UNKNOWN_START_PERCENT = 50
CALL_S = 0.5
RETRY_S = 0.1
# A call without answer may be carried out up to 12 s later.
LATEST_S = 12.5
AGAIN_S = 1.0


def on_verdicts(event: HarmVerdicts, tables: KeeperTables, now: float) -> KeeperStep:
    """Note which images slow which, as the owner has learned it from all hosts."""
    if event.epoch != tables.epoch:
        return Step(tables=tables)
    pacing = replace(
        tables.pacing,
        harmful=frozenset(event.harmful),
        harmless=frozenset(event.harmless),
    )
    return Step(tables=replace(tables, pacing=pacing))


def decide(tables: KeeperTables, now: float) -> KeeperStep:
    """Set the pace of every run that may disturb, by the latest measures."""
    if tables.server is None or now - tables.pacing.decided_at < DECIDE_S:
        return Step(tables=tables)
    runs = tables.runs.rows_where("phase", RunPhase.RUNNING.value)
    part_by_image = _parts(runs)
    near_since = tables.pacing.near_since
    for image, part in part_by_image.items():
        if part <= NEAR:
            near_since = near_since.discard(image)
        elif image not in near_since:
            near_since = near_since.set(image, now)
    pacing = replace(tables.pacing, decided_at=now, near_since=near_since)
    tables = replace(tables, pacing=pacing)
    suffers_s = max((now - since for since in near_since.values()), default=0.0)
    lines: list[Command] = []
    for run_ in runs:
        if run_.order is None or not run_.order.disturbs or not run_.wanted:
            continue
        worst = _worst_beside(pacing, run_.order.image, part_by_image, now)
        pace = 0 if suffers_s >= STOP_S else _next_pace(run_.pace, worst)
        if pace == run_.pace:
            continue
        paced = replace(run_, pace=pace)
        tables = edits.put_run(tables, paced)
        lines.append(_line(tables, paced, f"worst at {worst:.2f} of its target"))
    return Step(tables=tables, commands=tuple(lines))


def first_pace(tables: KeeperTables, run: Run) -> int:
    """Return the pace of a run that has just started.

    One that may slow what serves here starts as slow as its like have become, or
    slowly, and is given its speed when the measures allow it.
    """
    if run.order is None or not run.order.disturbs:
        return run.pace
    runs = tables.runs.rows_where("phase", RunPhase.RUNNING.value)
    serving = {
        other.order.image for other in runs if other.order and other.order.target_ms
    }
    image = run.order.image
    if all((name, image) in tables.pacing.harmless for name in serving):
        return run.pace
    like = [other.pace for other in runs if other.order and other.order.image == image]
    known = any((name, image) in tables.pacing.harmful for name in serving)
    return min([*like, KNOWN_START_PERCENT if known else UNKNOWN_START_PERCENT])


def _parts(runs: list[Run]) -> dict[str, float]:
    """Return by image the worst latency of its runs, as a part of their target."""
    part_by_image: dict[str, float] = {}
    for run_ in runs:
        if run_.order is None or run_.order.target_ms <= 0.0:
            continue
        # Before its first measure a task is neither near its target nor well.
        measure = run_.status.measure if run_.status else WELL * run_.order.target_ms
        part = measure / run_.order.target_ms
        image = run_.order.image
        part_by_image[image] = max(part, part_by_image.get(image, 0.0))
    return part_by_image


def _worst_beside(
    pacing: Pacing, image: str, part_by_image: dict[str, float], now: float
) -> float:
    """Return the worst latency that an image may have to do with.

    One that is known to be harmless to what suffers is left alone, unless slowing
    the others has not helped for a while.
    """
    worst = 0.0
    for serving, part in part_by_image.items():
        suffers_s = now - pacing.near_since.get(serving, now)
        if (serving, image) in pacing.harmless and suffers_s < DOUBT_S:
            continue
        worst = max(worst, part)
    return worst


def _next_pace(pace: int, worst: float) -> int:
    if worst > NEAR:
        return max(LEAST_PERCENT, int(pace * SLOWER))
    if worst < WELL:
        return min(100, pace + FASTER_PERCENT)
    return pace


def run(tables: KeeperTables, now: float) -> KeeperStep:
    """Send the paces that were not taken, and those that a late call may undo."""
    server = tables.server
    if server is None:
        return Step(tables=tables)
    commands: list[Command] = []
    for run_ in tables.runs.rows_where("phase", RunPhase.RUNNING.value):
        doubted = now < run_.pace_doubted_until
        differs = run_.pace != run_.pace_set
        if run_.pacing or not run_.wanted or not (differs or doubted):
            continue
        if run_.order is None or now < run_.pace_at:
            continue
        sent = replace(run_, pacing=True, pace_set=run_.pace)
        tables = edits.put_run(tables, sent)
        commands.append(
            PaceRun(
                server_id=server.server_id,
                address=server.address,
                timeout_s=CALL_S,
                run=run_.ref,
                percent=run_.pace,
            )
        )
    return Step(tables=tables, commands=tuple(commands))


def on_paced(event: PaceAnswered, tables: KeeperTables, now: float) -> KeeperStep:
    """Note that the pace was taken; a doubted one is sent again after a while."""
    run_ = tables.runs.get(event.run.key)
    if run_ is None:
        return Step(tables=tables)
    doubted = now < run_.pace_doubted_until
    paced = replace(run_, pacing=False, pace_at=now + AGAIN_S if doubted else now)
    return Step(tables=edits.put_run(tables, paced))


def on_unpaced(event: PaceFailed, tables: KeeperTables, now: float) -> KeeperStep:
    """Send the pace again; the call without answer may still undo a later one."""
    run_ = tables.runs.get(event.run.key)
    if run_ is None:
        return Step(tables=tables)
    doubted = replace(
        run_,
        pacing=False,
        pace_set=0,
        pace_at=now + RETRY_S,
        pace_doubted_until=now + LATEST_S,
    )
    return Step(tables=edits.put_run(tables, doubted))


def _line(tables: KeeperTables, run_: Run, reason: str) -> Decision:
    return edits.log(tables, "run.pace", run_.key, f"{run_.pace}%", reason)
