"""The result of a system: new tables and the commands to carry out.

A role runs its systems in a fixed order each tick. Every system has the form
``run(tables, now) -> Step``; an event is applied by a `singledispatch` function
of the form ``apply(event, tables, now) -> Step``. `tick` runs both.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
E = TypeVar("E")


@dataclass(frozen=True, kw_only=True, slots=True)
class Command:
    """Base class for the actions that a system requests."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """Base class for the inputs of a role."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Tell(Command):
    """Passes an event to another role of the same process, by the role's name."""

    role: str
    event: Event


@dataclass(frozen=True, kw_only=True, slots=True)
class Step(Generic[T]):
    """The result of one system: new tables and commands, in order."""

    tables: T
    commands: tuple[Command, ...] = ()


System = Callable[[T, float], Step[T]]


def tick(
    *,
    tables: T,
    events: Iterable[E],
    now: float,
    apply: Callable[[E, T, float], Step[T]],
    systems: Iterable[System[T]],
) -> Step[T]:
    """Apply the events in order, then run the systems in order.

    Returns the final tables and all commands in the order in which they were issued.
    """
    commands: list[Command] = []
    for event in events:
        step = apply(event, tables, now)
        tables = step.tables
        commands.extend(step.commands)
    for system in systems:
        step = system(tables, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))
