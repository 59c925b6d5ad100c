"""How old the orders of operators may be that an entry goes on with.

An order that was stored after the orders were last confirmed may be unknown here. Calls
are answered by them only while that cannot break the time within which operators are
promised that an order is in force, whatever keeps newer ones from being read.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.intake_tables import IntakeTables
from bulrushpulley.entities.observe import Observe
from bulrushpulley.entities.step import Command
from bulrushpulley.systems.store_watch import (
    STORE_UNREACHABLE_TIMEOUT_S,
    WATCH_WAIT_S,
)

# A read is late by the ticks before and after it, and by the latency of the store.
READ_MARGIN_S = 0.3
MIN_WATCH_WAIT_S = 0.1


def age_s(tables: IntakeTables, now: float) -> float:
    """Return the time since the orders were last known to be the newest."""
    return now - tables.orders_confirmed_at


def are_current(tables: IntakeTables, now: float) -> bool:
    """Return whether all orders are known that have to be in force."""
    return age_s(tables, now) <= tables.orders_within_s


def with_confirmed(tables: IntakeTables, at: float) -> IntakeTables:
    """Return the tables once all orders are known that were stored before `at`."""
    return replace(tables, orders_confirmed_at=max(tables.orders_confirmed_at, at))


def ages(tables: IntakeTables, now: float) -> tuple[Command, ...]:
    """Return the age that the orders have reached, as a duration to observe."""
    if not tables.orders_confirmed_at:
        return ()
    return (Observe(name="orders_age_seconds", seconds=age_s(tables, now)),)


def watch_wait_s(tables: IntakeTables) -> float:
    """Return how long a watch may wait for changes.

    A change at its end has to arrive with the answer before the store counts as
    unreachable, and again with the read that follows before the orders are too old.
    """
    read_s = tables.orders_read_s + READ_MARGIN_S
    spare_s = min(
        STORE_UNREACHABLE_TIMEOUT_S - read_s,
        tables.orders_within_s - tables.orders_read_s - read_s,
    )
    return min(WATCH_WAIT_S, max(MIN_WATCH_WAIT_S, spare_s))
