"""Runs the roles of several processes in virtual time over small fakes.

It holds no decision of its own: roles tick as in `RoleActor`, commands are
carried out by a function that the test gives, and everything that happens is an
entry in one ordered queue, so that a run is the same each time. A process can be
killed, started again, or paused, also between a decision and its commands; a
message can be delayed, repeated, held back or lost by its `Path`.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from bulrushpulley.entities.step import Command, Event
from bulrushpulley.roles.actor import TICK_INTERVAL_S, Role

RANDOM_MODULUS = 2_147_483_647
RANDOM_FACTOR = 48_271


@dataclass(frozen=True, kw_only=True, slots=True)
class Seat:
    """One role of one process."""

    process: str
    role: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Path:
    """How messages travel: delays in seconds, faults by probability in percent."""

    delay_s: float = 0.001
    jitter_s: float = 0.0
    repeat_percent: int = 0
    lose_percent: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Dice:
    """A small reproducible source of chance."""

    state: int = 1

    def roll(self, sides: int) -> tuple[int, Dice]:
        """Return a number below `sides` and the next dice."""
        state = (self.state * RANDOM_FACTOR) % RANDOM_MODULUS
        return state % sides, Dice(state=state)


CarryOut = Callable[["VirtualWorld", Seat, Command], None]
Watch = Callable[["VirtualWorld", Seat, Command], None]


class VirtualWorld:
    """The queue of what happens, and the tables of every role."""

    def __init__(self, *, carry_out: CarryOut, seed: int = 1) -> None:
        self.now = 0.0
        self.dice = Dice(state=seed)
        self.tables: dict[Seat, Any] = {}
        self.roles: dict[Seat, Role[Any]] = {}
        self.births: dict[str, int] = {}
        self.paused_until: dict[str, float] = {}
        self.watches: list[Watch] = []
        self._carry_out = carry_out
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Have `action` happen after a delay."""
        self._count += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._count, action))

    def start(self, process: str, roles: Iterable[Role[Any]]) -> None:
        """Start a process; starting it again replaces it with empty tables."""
        self.kill(process)
        birth = self.births[process] = self.births.get(process, 0) + 1
        for role in roles:
            seat = Seat(process=process, role=role.name)
            self.roles[seat] = role
            self.tables[seat] = role.tables
        self.at(0.0, lambda: self._tick_all(process, birth))

    def kill(self, process: str) -> None:
        """End a process at once; whatever it held is gone."""
        for seat in [seat for seat in self.roles if seat.process == process]:
            del self.roles[seat], self.tables[seat]
        self.births[process] = self.births.get(process, 0) + 1
        self.paused_until.pop(process, None)

    def alive(self, process: str) -> bool:
        """Tell whether the process runs (it may be paused)."""
        return any(seat.process == process for seat in self.roles)

    def pause(self, process: str, seconds: float) -> None:
        """Freeze a process; events wait, and so do commands not yet carried out."""
        self.paused_until[process] = self.now + seconds

    def deliver(self, seat: Seat, event: Event, path: Path | None = None) -> None:
        """Have a role told an event over a path, unless the process dies first."""
        birth = self.births.get(seat.process, 0)
        for delay_s in self.delays(path or Path(delay_s=0.0)):
            self.at(delay_s, lambda: self._tell(seat, birth, (event,)))

    def delays(self, path: Path) -> tuple[float, ...]:
        """Return the delay of each copy of a message on a path; none if it is lost."""
        lost, self.dice = self.dice.roll(100)
        repeated, self.dice = self.dice.roll(100)
        if lost < path.lose_percent:
            return ()
        found: list[float] = []
        for _ in range(2 if repeated < path.repeat_percent else 1):
            part, self.dice = self.dice.roll(1000)
            found.append(path.delay_s + path.jitter_s * part / 1000)
        return tuple(found)

    def run(self, until: float) -> None:
        """Let everything happen up to a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def change(self, seat: Seat, **fields: Any) -> None:
        """Replace fields of a role's tables, to set up a case."""
        self.tables[seat] = replace(self.tables[seat], **fields)

    def _frozen_for(self, process: str) -> float:
        return max(0.0, self.paused_until.get(process, 0.0) - self.now)

    def _tick_all(self, process: str, birth: int) -> None:
        if self.births.get(process) != birth:
            return
        for seat in [seat for seat in self.roles if seat.process == process]:
            self._tell(seat, birth, ())
        wait = max(TICK_INTERVAL_S, self._frozen_for(process))
        self.at(wait, lambda: self._tick_all(process, birth))

    def _tell(self, seat: Seat, birth: int, events: tuple[Event, ...]) -> None:
        if self.births.get(seat.process) != birth or seat not in self.roles:
            return
        frozen = self._frozen_for(seat.process)
        if frozen:
            if events:
                self.at(frozen, lambda: self._tell(seat, birth, events))
            return
        step = self.roles[seat].tick(self.tables[seat], events, self.now)
        self.tables[seat] = step.tables
        for command in step.commands:
            self._leave(seat, birth, command)

    def _leave(self, seat: Seat, birth: int, command: Command) -> None:
        """Carry out a command, later if a watch has just paused the process."""
        if self.births.get(seat.process) != birth:
            return
        frozen = self._frozen_for(seat.process)
        if frozen:
            self.at(frozen, lambda: self._leave(seat, birth, command))
            return
        for watch in tuple(self.watches):
            watch(self, seat, command)
        if self.births.get(seat.process) != birth:
            return
        frozen = self._frozen_for(seat.process)
        if frozen:
            self.at(frozen, lambda: self._carry_out(self, seat, command))
            return
        self._carry_out(self, seat, command)
