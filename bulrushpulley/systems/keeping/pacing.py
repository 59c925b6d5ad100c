"""Slows what disturbs serving tasks, as soon as one of them nears its target.

While a serving task is near its target, the runs that are known to slow its image
are slowed, and all that may disturb if that is not enough or nothing is known. When
all have been well for a while, the runs get their speed back in steps.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from bulrushpulley.entities.jobs.executor_calls import (
    PaceAnswered,
    PaceFailed,
    PaceRun,
)
from bulrushpulley.entities.jobs.items import HarmfulPairs
from bulrushpulley.entities.jobs.keeper_tables import (
    KeeperStep,
    KeeperTables,
    Run,
    RunPhase,
)
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command, Step

# Measures cover the last half second, so acting more often would act on old ones.
DECIDE_S = 0.5
# Parts of the target: above the first a task is about to miss it, below the second
# there is room to give speed back.
NEAR = 0.95
WELL = 0.8
# Calm for two measures in a row before any speed comes back.
CALM_S = 0.9
SLOWER = 0.5
# Known culprits at this pace or less are slowed no further alone.
ENOUGH_PERCENT = 25
FASTER_PERCENT = 15
LEAST_PERCENT = 5
CALL_S = 0.5
RETRY_S = 0.1
# A call without answer may be carried out up to 12 s later.
LATEST_S = 12.5
AGAIN_S = 1.0


def on_harmful(event: HarmfulPairs, tables: KeeperTables, now: float) -> KeeperStep:
    """Note which images slow which, as the owner has learned it from all hosts."""
    if event.epoch != tables.epoch:
        return Step(tables=tables)
    pacing = replace(tables.pacing, harmful=frozenset(event.pairs))
    return Step(tables=replace(tables, pacing=pacing))


def decide(tables: KeeperTables, now: float) -> KeeperStep:
    """Set the pace of every run that may disturb, by the latest measures."""
    pacing = tables.pacing
    if tables.server is None or now - pacing.decided_at < DECIDE_S:
        return Step(tables=tables)
    runs = tables.runs.rows_where("phase", RunPhase.RUNNING.value)
    part_by_image = _parts(runs)
    worst = max(part_by_image.values(), default=0.0)
    calm_since = pacing.calm_since
    calm_since = None if worst >= WELL else (now if calm_since is None else calm_since)
    is_calm = calm_since is not None and now - calm_since >= CALM_S
    pacing = replace(pacing, decided_at=now, calm_since=calm_since)
    tables = replace(tables, pacing=pacing)
    disturbing = [
        run_ for run_ in runs if run_.wanted and run_.order and run_.order.disturbs
    ]
    near = [image for image, part in part_by_image.items() if part > NEAR]
    if near:
        return _slow(tables, _blamed(tables, disturbing, near), worst)
    if is_calm:
        return _set(tables, disturbing, worst, lambda pace: pace + FASTER_PERCENT)
    return Step(tables=tables)


def _parts(runs: list[Run]) -> dict[str, float]:
    """Return by image the worst latency of its runs, as a part of their target."""
    part_by_image: dict[str, float] = {}
    for run_ in runs:
        if run_.order is None or run_.status is None or run_.order.target_ms <= 0.0:
            continue
        part = run_.status.measure / run_.order.target_ms
        image = run_.order.image
        part_by_image[image] = max(part, part_by_image.get(image, 0.0))
    return part_by_image


def _blamed(tables: KeeperTables, disturbing: list[Run], near: list[str]) -> list[Run]:
    """Return the runs known to slow what suffers; all, if slowing those is not enough.

    While nothing is known of anybody, everybody is blamed.
    """
    known = [
        run_
        for run_ in disturbing
        if run_.order is not None
        and any((image, run_.order.image) in tables.pacing.harmful for image in near)
    ]
    if any(run_.pace > ENOUGH_PERCENT for run_ in known):
        return known
    return disturbing


def _slow(tables: KeeperTables, blamed: list[Run], worst: float) -> KeeperStep:
    return _set(tables, blamed, worst, lambda pace: int(pace * SLOWER))


def _set(
    tables: KeeperTables, runs: list[Run], worst: float, pace_of: Callable[[int], int]
) -> KeeperStep:
    lines: list[Command] = []
    for run_ in runs:
        pace = min(100, max(LEAST_PERCENT, pace_of(run_.pace)))
        if pace == run_.pace:
            continue
        paced = replace(run_, pace=pace)
        tables = replace(tables, runs=tables.runs.put(run_.key, paced))
        lines.append(_line(tables, paced, f"worst at {worst:.2f} of its target"))
    return Step(tables=tables, commands=tuple(lines))


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
        tables = replace(tables, runs=tables.runs.put(run_.key, sent))
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
    return Step(tables=replace(tables, runs=tables.runs.put(run_.key, paced)))


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
    return Step(tables=replace(tables, runs=tables.runs.put(run_.key, doubted)))


def _line(tables: KeeperTables, run_: Run, reason: str) -> Decision:
    return Decision(
        kind="run.pace",
        subject=run_.key,
        chosen=f"{run_.pace}%",
        reason=reason,
        epoch=tables.epoch,
    )
