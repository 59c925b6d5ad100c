"""The tables of the linker, the role that keeps an agent linked to every entry."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from bulrushpulley.entities.step import Command, Event
from bulrushpulley.entities.table import Table
from bulrushpulley.errors import Problem


class DialState(enum.Enum):
    """Whether an address is linked, being dialled or waiting for the next attempt."""

    WAITING = "waiting"
    DIALLING = "dialling"
    LINKED = "linked"


@dataclass(frozen=True, kw_only=True, slots=True)
class Dial:
    """One address of an entry.

    `failures` counts the attempts and streams that ended since it was last `LINKED`.
    A `seed` address comes from the settings and is never removed. Any other address
    is removed when the entries no longer list it and its link has ended.
    """

    address: str
    seed: bool
    listed: bool = False
    state: DialState = DialState.WAITING
    failures: int = 0
    retry_at: float = 0.0


def by_state(dial: Dial) -> tuple[str, ...]:
    """Index function: the state of a dial."""
    return (dial.state.value,)


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkerTables:
    """The state of a linker: the addresses to link to, keyed by address."""

    incarnation: str
    dials: Table[Dial]
    leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class DialLinked(Event):
    """The stream to `address` is open."""

    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DialEnded(Event):
    """The dialling attempt or the stream to `address` has ended.

    `problem` is None when the other side closed the stream normally.
    """

    address: str
    problem: Problem | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class DialEntry(Command):
    """Opens a stream to `address`; a `DialEnded` always follows eventually."""

    address: str
