"""Slows runs that may disturb serving tasks when one of these nears its target.

While the latency of a serving task is near its target, the disturbing runs on the host
are slowed, except those whose images are known to be harmless to it; if that does not
help, these are slowed too. Once all serving tasks that a run may harm are well below
their targets, its speed is restored in steps.
"""

from __future__ import annotations

from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.bounds import MAX_CALL_DELAY_S
from bulrushpulley.entities.jobs.executor_calls import (
    PaceAnswered,
    PaceFailed,
    PaceRun,
)
from bulrushpulley.entities.jobs.items import HarmVerdicts
from bulrushpulley.entities.jobs.job_agent_tables import (
    JobAgentStep,
    JobAgentTables,
    Pacing,
    Run,
    RunPhase,
)
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.job_agent import edits

# Measures cover the last half second, so more frequent decisions would use stale ones.
PACE_INTERVAL_S = 0.5
# Ratios of latency to target: above the first a task is about to miss its target, below
# the second runs can be sped up.
NEAR_TARGET_RATIO = 0.95
RECOVERED_RATIO = 0.8
SLOWDOWN_FACTOR = 0.5
# Once a serving task has been near its target for the first of these times, images
# known as harmless are slowed too; after the second, all runs that may disturb are
# paused: many slow runs together still do harm, and a task may exceed its target for
# 4 s at most.
SLOW_HARMLESS_DELAY_S = 0.9
PAUSE_ALL_DELAY_S = 1.5
SPEEDUP_PERCENT = 15
MIN_PACE_PERCENT = 5
# The initial pace of a run on the host of a task that it is known to slow, or may slow.
HARMFUL_START_PERCENT = 20
UNKNOWN_START_PERCENT = 50
PACE_TIMEOUT_S = 0.5
PACE_RETRY_DELAY_S = 0.1
UNCERTAIN_PACE_INTERVAL_S = 1.0


def handle_verdicts(
    event: HarmVerdicts, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Record which images slow which, as the owner has learned from all hosts."""
    if event.epoch != tables.epoch:
        return Step(tables=tables)
    pacing = replace(
        tables.pacing,
        harmful=frozenset(event.harmful),
        harmless=frozenset(event.harmless),
    )
    return Step(tables=replace(tables, pacing=pacing, verdicts=event.number))


def decide_paces(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Set the pace of every run that may disturb, based on the latest measures."""
    if tables.server is None or now - tables.pacing.decided_at < PACE_INTERVAL_S:
        return Step(tables=tables)
    runs = tables.runs.rows_where("phase", RunPhase.RUNNING.value)
    ratio_by_image = _latency_ratios(runs)
    known = tables.pacing.near_target_since
    near_target_since = Map(
        {
            image: known.get(image, now)
            for image, ratio in ratio_by_image.items()
            if ratio > NEAR_TARGET_RATIO
        }
    )
    pacing = replace(tables.pacing, decided_at=now, near_target_since=near_target_since)
    tables = replace(tables, pacing=pacing)
    near_target_s = max(
        (now - since for since in near_target_since.values()), default=0.0
    )
    lines: list[Command] = []
    for run_ in runs:
        if run_.order is None or not run_.order.disturbs or not run_.wanted:
            continue
        worst = _worst_ratio(pacing, run_.order.image, ratio_by_image, now)
        pace = 0 if near_target_s >= PAUSE_ALL_DELAY_S else _next_pace(run_.pace, worst)
        if pace == run_.pace:
            continue
        paced = replace(run_, pace=pace)
        tables = edits.put_run(tables, paced)
        lines.append(
            _line(
                tables, paced, f"worst latency of serving tasks: {worst:.2f} of target"
            )
        )
    return Step(tables=tables, commands=tuple(lines))


def initial_pace(tables: JobAgentTables, run: Run) -> int:
    """Return the pace of a run that has just started.

    A run that may slow a serving task on this host starts at a reduced pace, at most
    the lowest of the other runs of its image, and is sped up when the measures allow.
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
    same_image_paces = [
        other.pace for other in runs if other.order and other.order.image == image
    ]
    is_harmful = any((name, image) in tables.pacing.harmful for name in serving)
    return min(
        [
            *same_image_paces,
            HARMFUL_START_PERCENT if is_harmful else UNKNOWN_START_PERCENT,
        ]
    )


def _latency_ratios(runs: list[Run]) -> dict[str, float]:
    """Return by image the highest ratio of latency to target of its runs."""
    ratio_by_image: dict[str, float] = {}
    for run_ in runs:
        if run_.order is None or run_.order.target_ms <= 0.0:
            continue
        # Until its first measure a task causes no run to be slowed or sped up.
        measure = (
            run_.status.measure
            if run_.status
            else RECOVERED_RATIO * run_.order.target_ms
        )
        ratio = measure / run_.order.target_ms
        image = run_.order.image
        ratio_by_image[image] = max(ratio, ratio_by_image.get(image, 0.0))
    return ratio_by_image


def _worst_ratio(
    pacing: Pacing, image: str, ratio_by_image: dict[str, float], now: float
) -> float:
    """Return the highest latency ratio among the tasks that an image may slow.

    Serving images to which it is known to be harmless do not count, unless slowing the
    other runs has not helped for `SLOW_HARMLESS_DELAY_S`.
    """
    worst = 0.0
    for serving, ratio in ratio_by_image.items():
        near_target_s = now - pacing.near_target_since.get(serving, now)
        if (
            serving,
            image,
        ) in pacing.harmless and near_target_s < SLOW_HARMLESS_DELAY_S:
            continue
        worst = max(worst, ratio)
    return worst


def _next_pace(pace: int, worst: float) -> int:
    if worst > NEAR_TARGET_RATIO:
        return max(MIN_PACE_PERCENT, int(pace * SLOWDOWN_FACTOR))
    if worst < RECOVERED_RATIO:
        return min(100, pace + SPEEDUP_PERCENT)
    return pace


def run(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Send the paces that are not set yet, and those that a late call may undo."""
    server = tables.server
    if server is None:
        return Step(tables=tables)
    commands: list[Command] = []
    for run_ in tables.runs.rows_where("phase", RunPhase.RUNNING.value):
        uncertain = now < run_.pace_uncertain_until
        differs = run_.pace != run_.pace_set
        if run_.pace_in_flight or not run_.wanted or not (differs or uncertain):
            continue
        if run_.order is None or now < run_.next_pace_at:
            continue
        sent = replace(run_, pace_in_flight=True, pace_set=run_.pace)
        tables = edits.put_run(tables, sent)
        commands.append(
            PaceRun(
                server_id=server.server_id,
                address=server.address,
                timeout_s=PACE_TIMEOUT_S,
                fencing_token=tables.fencing_token,
                run=run_.ref,
                percent=run_.pace,
            )
        )
    return Step(tables=tables, commands=tuple(commands))


def handle_pace_answered(
    event: PaceAnswered, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Record that the pace was set; an uncertain one is sent again after a delay."""
    run_ = tables.runs.get(event.run.key)
    if run_ is None:
        return Step(tables=tables)
    uncertain = now < run_.pace_uncertain_until
    paced = replace(
        run_,
        pace_in_flight=False,
        next_pace_at=now + UNCERTAIN_PACE_INTERVAL_S if uncertain else now,
    )
    return Step(tables=edits.put_run(tables, paced))


def handle_pace_failed(
    event: PaceFailed, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Schedule a retry; the call without answer may still undo a later pace."""
    run_ = tables.runs.get(event.run.key)
    if run_ is None:
        return Step(tables=tables)
    uncertain = replace(
        run_,
        pace_in_flight=False,
        pace_set=0,
        next_pace_at=now + PACE_RETRY_DELAY_S,
        pace_uncertain_until=now + MAX_CALL_DELAY_S,
    )
    return Step(tables=edits.put_run(tables, uncertain))


def _line(tables: JobAgentTables, run_: Run, reason: str) -> Decision:
    return edits.log(tables, "run.pace", run_.key, f"{run_.pace}%", reason)
