"""Carries out the commands of the roles; all I/O of the roles starts here.

`carry_out` is a `singledispatch` function over command types. The common commands
are registered here. A role with I/O of its own registers its commands in a separate
module, such as `guard_io`. Blocking calls are passed to `Ports.run`, which executes
them off the actor's thread and sends the resulting event to the role.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch
from typing import Protocol

from bulrushpulley.entities.link import Send
from bulrushpulley.entities.observe import Count, Decision, Observe
from bulrushpulley.entities.step import Command, Event, Tell


class Run(Protocol):
    """Executes `work` on a thread pool and sends `role` the event that it returns."""

    def __call__(self, *, role: str, work: Callable[[], Event]) -> None:
        """Schedule `work` and return without waiting for it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Ports:
    """The functions that a process provides for the commands; none of them block.

    `answer` takes the commands that answer calls of callers and operators, and
    `decide` logs a decision. A role with platform clients of its own extends this
    class in its I/O module.
    """

    send: Callable[[Send], None]
    tell: Callable[[str, Event], None]
    answer: Callable[[Command], None]
    decide: Callable[[Decision], None]
    count: Callable[[Count], None]
    observe: Callable[[Observe], None]
    run: Run


@singledispatch
def carry_out(command: Command, ports: Ports) -> None:
    """Carry out one command; an unregistered kind is a programming error."""
    raise NotImplementedError(f"no I/O registered for {type(command).__name__}")


@carry_out.register
def _(command: Send, ports: Ports) -> None:
    ports.send(command)


@carry_out.register
def _(command: Tell, ports: Ports) -> None:
    ports.tell(command.role, command.event)


@carry_out.register
def _(command: Decision, ports: Ports) -> None:
    ports.decide(command)
    ports.count(Count(name="decisions", label=command.kind))


@carry_out.register
def _(command: Count, ports: Ports) -> None:
    ports.count(command)


@carry_out.register
def _(command: Observe, ports: Ports) -> None:
    ports.observe(command)
