"""The actor that runs a role.

It holds the role's tables and queues the events that it receives. Each tick applies
the queued events, runs the role's systems and carries out their commands. Ticks also
run at the role's interval, so that deadlines are checked when no events arrive.
Decisions are made in `systems`; the role's clock is read only here, once per tick.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any, Generic, TypeVar

import pykka

from bulrushpulley.entities.step import Command, Event, Step, System, tick
from bulrushpulley.roles.inbox import EventInbox

T = TypeVar("T")

TICK_INTERVAL_S = 0.1
CONTROL_TICK_INTERVAL_S = 0.2


def seconds_since_boot() -> float:
    """Read a monotonic clock that also advances while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def ignore_failure(error: Exception) -> None:
    """Do nothing when a role fails."""


def no_event_can_wait(event: Event) -> bool:
    """Return False, so that every event causes a tick."""
    return False


@dataclass(frozen=True, kw_only=True, slots=True)
class Role(Generic[T]):
    """The pure part of a role: its initial tables and the systems that run over them.

    `tick_interval_s` is the longest time between two ticks. Roles that serve requests
    use `TICK_INTERVAL_S`. Roles that only control use `CONTROL_TICK_INTERVAL_S`, as
    their deadlines are in seconds and idle ticks are most of the cost of an idle
    process. The scheduler ticks more often where it has the processor time, as it has
    to notice soon that the owner is lost. An event for which `can_wait` returns True is
    queued for the next tick and causes none itself, so that the events of many agents
    share one tick. Ticks begin at least `min_tick_interval_s` apart, so that the events
    of that time share one as well. `clock` returns the time that the ticks are passed.
    """

    name: str
    tables: T
    apply: Callable[[Event, T, float], Step[T]]
    systems: tuple[System[T], ...]
    tick_interval_s: float = TICK_INTERVAL_S
    min_tick_interval_s: float = 0.0
    can_wait: Callable[[Event], bool] = no_event_can_wait
    clock: Callable[[], float] = time.monotonic

    def tick(self, tables: T, events: Iterable[Event], now: float) -> Step[T]:
        """Run one tick over `tables`."""
        return tick(
            tables=tables,
            events=events,
            now=now,
            apply=self.apply,
            systems=self.systems,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class TickDue:
    """Makes the actor run a tick over the events queued so far."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Inspect:
    """Asks the actor for its current tables, which are the answer."""


class RoleActor(pykka.ThreadingActor):
    """Runs a role and calls `carry_out` with each command after the tick.

    `report_failure` is called with the exception that ends the role, if any. Events
    may be told to the actor, or put into its `inbox` by any thread.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        role: Role[Any],
        carry_out: Callable[[Command], None],
        report_failure: Callable[[Exception], None] = ignore_failure,
        inbox: EventInbox | None = None,
    ) -> None:
        super().__init__()
        self._report_failure = report_failure
        self._role = role
        self._tables = role.tables
        self._carry_out = carry_out
        self._inbox = EventInbox() if inbox is None else inbox
        self._ticked_at = 0.0
        # Never set; waiting for it is a rest.
        self._rest = threading.Event()

    def on_receive(self, message: Any) -> Any:
        """Queue an event, run a tick, or return the tables.

        An exception is reported while the actor still runs, as others may notice its
        end at once and know no reason for it.
        """
        try:
            return self._receive(message)
        except Exception as error:
            self._report_failure(error)
            raise

    @singledispatchmethod
    def _receive(self, message: Event) -> Any:
        if self._inbox.put(message, can_wait=self._role.can_wait(message)):
            self.actor_ref.tell(TickDue())

    @_receive.register
    def _(self, message: TickDue) -> Any:
        self._run_tick()

    @_receive.register
    def _(self, message: Inspect) -> Any:
        return self._tables

    def _run_tick(self) -> None:
        wait_s = self._ticked_at + self._role.min_tick_interval_s - time.monotonic()
        if wait_s > 0.0:
            self._rest.wait(wait_s)
        self._ticked_at = time.monotonic()
        step = self._role.tick(self._tables, self._inbox.take(), self._role.clock())
        self._tables = step.tables
        for command in step.commands:
            self._carry_out(command)
