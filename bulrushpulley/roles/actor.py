"""The actor that every role runs in.

It holds a role's tables, gathers the events in its mailbox, runs one tick over
them and has the commands carried out. A tick also happens at the role's own
interval, so that deadlines pass without events. The decisions stay in `systems`;
the clock is read here, once a tick.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import singledispatchmethod
from types import TracebackType
from typing import Any, Generic, TypeVar

import pykka

from bulrushpulley.entities.step import Command, Event, Step, System, tick

T = TypeVar("T")

TICK_INTERVAL_S = 0.1
CONTROL_TICK_INTERVAL_S = 0.2


def since_boot() -> float:
    """Read a steady clock that also counts the time for which a host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def ignore_failure(error: BaseException | None) -> None:
    """Do nothing about the end of a role."""


def no_event_can_wait(event: Event) -> bool:
    """Have every event cause a tick."""
    return False


@dataclass(frozen=True, kw_only=True, slots=True)
class Role(Generic[T]):
    """The pure part of a role: its first tables and what runs over them.

    `tick_s` is the longest time between two ticks. Roles that serve requests take
    `TICK_S`; those that only control take `CONTROL_TICK_S`, as their deadlines are
    in seconds and an idle tick is the larger part of what a process at rest costs.
    An event for which `can_wait` holds is gathered for the next tick and causes
    none itself: many agents then cost one tick, not one each. `clock` is what the
    role's times are read from.
    """

    name: str
    tables: T
    apply: Callable[[Event, T, float], Step[T]]
    systems: tuple[System[T], ...]
    tick_interval_s: float = TICK_INTERVAL_S
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
    """Tells the actor to run a tick over the events that came before."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Inspect:
    """Asks the actor for its present tables; the answer is the tables value."""


class RoleActor(pykka.ThreadingActor):
    """Runs a role: `carry_out` gets each command after the tick that made it.

    `failed` gets the exception that ended the role, if one does.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        role: Role[Any],
        carry_out: Callable[[Command], None],
        report_failure: Callable[[BaseException | None], None] = ignore_failure,
    ) -> None:
        super().__init__()
        self._report_failure = report_failure
        self._role = role
        self._tables = role.tables
        self._carry_out = carry_out
        self._events: list[Event] = []
        self._tick_queued = False

    def on_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Hand on the exception that ended the role."""
        self._report_failure(exception_value)

    def on_receive(self, message: Any) -> Any:
        """Gather an event, run a tick, or return the tables."""
        return self._receive(message)

    @singledispatchmethod
    def _receive(self, message: Event) -> Any:
        self._events.append(message)
        if not self._tick_queued and not self._role.can_wait(message):
            self._tick_queued = True
            self.actor_ref.tell(TickDue())

    @_receive.register
    def _(self, message: TickDue) -> Any:
        self._run_tick()

    @_receive.register
    def _(self, message: Inspect) -> Any:
        return self._tables

    def _run_tick(self) -> None:
        events, self._events = self._events, []
        self._tick_queued = False
        step = self._role.tick(self._tables, events, self._role.clock())
        self._tables = step.tables
        for command in step.commands:
            self._carry_out(command)
