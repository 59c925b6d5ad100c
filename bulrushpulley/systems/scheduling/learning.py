"""Learns which images slow which serving images, over all hosts of the shard.

What is learned is kept in memory: a new owner learns again, within seconds, and the
agents keep what the former one told them until then.
"""

from __future__ import annotations

from dataclasses import replace

from bulrushpulley.entities.interference import Harm, harm_key
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.items import HarmfulPairs, Measures, ServingMeasure
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems import interference_step
from bulrushpulley.systems.scheduling import edits

OWN = ""
# Serving tasks alone are at about this part of their target.
OWN_PART = 0.4
# Beyond this part of the target a latency says no more than that it is too high.
HIGHEST_PART = 2.0
# One unit of an image that adds this part of the target is called harmful, and is
# forgiven below the second: a few units take a serving task past its target.
HARMFUL_PART = 0.12
FORGIVEN_PART = 0.07
TELL_S = 1.0


def on_measures(
    event: Measures, host: Host, tables: SchedulerTables, now: float
) -> SchedulerStep:
    """Take what one host has measured into the estimates."""
    units = {OWN: 1.0}
    for filling in event.filling:
        units[filling.image] = units.get(filling.image, 0.0) + filling.units
    targets = tables.target_by_image
    for serving in event.serving:
        targets = targets.set(serving.image, serving.target_ms)
        tables = _learn(tables, serving, units, now)
    tables = replace(tables, target_by_image=targets)
    return Step(tables=tables)


def _learn(
    tables: SchedulerTables,
    serving: ServingMeasure,
    units: dict[str, float],
    now: float,
) -> SchedulerTables:
    sample_ms = min(serving.latency_ms, HIGHEST_PART * serving.target_ms)
    harms = [_harm(tables, serving, image, now) for image in units]
    table = tables.harms
    for harm in interference_step.corrected(harms, units, sample_ms, now):
        table = table.put(harm_key(service=harm.service, job=harm.job), harm)
    return replace(tables, harms=table)


def _harm(
    tables: SchedulerTables, serving: ServingMeasure, image: str, now: float
) -> Harm:
    known = tables.harms.get(harm_key(service=serving.image, job=image))
    first_ms = 0.0 if image else OWN_PART * serving.target_ms
    return known or Harm(
        service=serving.image, job=image, estimate_ms=first_ms, variance=1.0, at=now
    )


def harm_part(
    tables: SchedulerTables, serving: str, image: str, target_ms: float
) -> float:
    """Return what one unit of an image adds, as a part of the serving one's target."""
    known = tables.harms.get(harm_key(service=serving, job=image))
    return known.estimate_ms / max(1.0, target_ms) if known else 0.0


def tell(tables: SchedulerTables, now: float) -> SchedulerStep:
    """Tell the agents which pairs are harmful, when that has changed."""
    if not edits.is_loaded(tables) or now - tables.harmful_at < TELL_S:
        return Step(tables=tables)
    pairs = _harmful(tables)
    tables = replace(tables, harmful_at=now)
    if pairs == tables.harmful_sent:
        return Step(tables=tables)
    item = HarmfulPairs(epoch=tables.epoch, pairs=pairs)
    sends = tuple(
        Send(peer=host.peer, item=item)
        for host in tables.hosts.rows()
        if host.peer and host.adopted_epoch == tables.epoch
    )
    text = " ".join(f"{serving}<{image}" for serving, image in pairs)
    line = edits.log(tables, "harm.learn", f"{len(pairs)} pairs", "", text)
    commands: tuple[Command, ...] = (line, *sends)
    return Step(tables=replace(tables, harmful_sent=pairs), commands=commands)


def _harmful(tables: SchedulerTables) -> tuple[tuple[str, str], ...]:
    known = frozenset(tables.harmful_sent)
    found: list[tuple[str, str]] = []
    for harm in tables.harms.rows():
        if harm.job == OWN:
            continue
        target_ms = tables.target_by_image.get(harm.service, 0.0)
        pair = (harm.service, harm.job)
        bound = FORGIVEN_PART if pair in known else HARMFUL_PART
        if target_ms and harm.estimate_ms >= bound * target_ms:
            found.append(pair)
    return tuple(found)
