"""Applies the linker's events to its table of dials."""

from __future__ import annotations

import zlib
from functools import singledispatch

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.link import Entries
from bulrushpulley.entities.linker_tables import (
    Dial,
    DialEnded,
    DialLinked,
    DialState,
    LinkerTables,
)
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.step import Event, Step
from bulrushpulley.systems.exponential_backoff import exponential_delay_s

MIN_DIAL_RETRY_DELAY_S = 0.2
MAX_DIAL_RETRY_DELAY_S = 10.0


def retry_delay_s(*, incarnation: str, address: str, failures: int) -> float:
    """Return the delay before the next attempt, in seconds.

    It is between half and all of an exponential backoff. The jitter is derived from
    the arguments, so that it differs between processes and is the same in each run of
    a test.
    """
    delay_s = exponential_delay_s(
        min_delay_s=MIN_DIAL_RETRY_DELAY_S,
        max_delay_s=MAX_DIAL_RETRY_DELAY_S,
        doublings=failures,
    )
    jitter = zlib.crc32(f"{incarnation} {address} {failures}".encode()) / 2**32
    return delay_s * (0.5 + jitter / 2)


@singledispatch
def apply(event: Event, tables: LinkerTables, now: float) -> Step[LinkerTables]:
    """Apply one event; an event without a registered handler changes nothing."""
    return Step(tables=tables)


@apply.register
def _(event: Entries, tables: LinkerTables, now: float) -> Step[LinkerTables]:
    listed = {f"{entry.host}:{entry.port}" for entry in event.entries}
    dials = tables.dials
    for address in sorted(listed):
        dial = dials.get(address) or Dial(address=address, seed=False)
        dials = dials.put(address, replace(dial, listed=True))
    for dial in dials.rows():
        if dial.listed and dial.address not in listed:
            dials = dials.put(dial.address, replace(dial, listed=False))
    return Step(tables=replace(tables, dials=dials))


@apply.register
def _(event: DialLinked, tables: LinkerTables, now: float) -> Step[LinkerTables]:
    dial = tables.dials.get(event.address)
    if dial is None:
        return Step(tables=tables)
    linked = replace(dial, state=DialState.LINKED, failures=0)
    dials = tables.dials.put(event.address, linked)
    return Step(tables=replace(tables, dials=dials))


@apply.register
def _(event: DialEnded, tables: LinkerTables, now: float) -> Step[LinkerTables]:
    dial = tables.dials.get(event.address)
    if dial is None:
        return Step(tables=tables)
    delay_s = retry_delay_s(
        incarnation=tables.incarnation, address=dial.address, failures=dial.failures
    )
    ended = replace(
        dial,
        state=DialState.WAITING,
        failures=dial.failures + 1,
        retry_at=now + delay_s,
    )
    dials = tables.dials.put(event.address, ended)
    code = event.problem.code.value if event.problem else "closed"
    count = Count(name="link_ended", label=code)
    return Step(tables=replace(tables, dials=dials), commands=(count,))
