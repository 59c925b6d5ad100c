"""What a system returns: the new tables and the commands to carry out.

A role runs its systems in a stated order each tick. Every system has the form
``run(tables, now) -> Step``; an event is applied by a `singledispatch` function
of the form ``apply(event, tables, now) -> Step``. `chain` joins both.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
E = TypeVar("E")


@dataclass(frozen=True, kw_only=True, slots=True)
class Command:
    """The base of everything a system asks to have carried out."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """The base of everything a role is told."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Tell(Command):
    """Hands an event to another role of the same process, by the role's name."""

    role: str
    event: Event


@dataclass(frozen=True, kw_only=True, slots=True)
class Step(Generic[T]):
    """The outcome of one system: new tables and commands, in order."""

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

    Returns the last tables and all commands in the order in which they arose.
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
