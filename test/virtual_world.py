"""Runs the roles of several processes in virtual time, without threads and I/O.

It makes no decisions itself: roles tick as in `RoleActor`, a function given by the
test carries out their commands, and all actions are entries in one ordered queue,
so that every run with the same seed is the same. A process can be killed, restarted
or paused, also between a decision and its commands. A `Path` can delay, reorder,
repeat or lose messages.
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
class RoleAddress:
    """Identifies a role of a process."""

    process: str
    role: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Path:
    """How messages are delivered: delays in seconds, fault rates in percent."""

    delay_s: float = 0.001
    jitter_s: float = 0.0
    repeat_percent: int = 0
    lose_percent: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class RandomGenerator:
    """A small random number generator with a reproducible sequence."""

    state: int = 1

    def draw(self, bound: int) -> tuple[int, RandomGenerator]:
        """Return a number below `bound` and the next generator."""
        state = (self.state * RANDOM_FACTOR) % RANDOM_MODULUS
        return state % bound, RandomGenerator(state=state)


CarryOut = Callable[["VirtualWorld", RoleAddress, Command], None]
CommandHook = Callable[["VirtualWorld", RoleAddress, Command], None]


class VirtualWorld:
    """The queue of scheduled actions, and the tables of every role."""

    def __init__(self, *, carry_out: CarryOut, seed: int = 1) -> None:
        self.now = 0.0
        self.rng = RandomGenerator(state=seed)
        self.tables: dict[RoleAddress, Any] = {}
        self.roles: dict[RoleAddress, Role[Any]] = {}
        self.incarnations: dict[str, int] = {}
        self.paused_until: dict[str, float] = {}
        self.command_hooks: list[CommandHook] = []
        self._carry_out = carry_out
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._action_count = 0

    def at(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self._action_count += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._action_count, action))

    def start(self, process: str, roles: Iterable[Role[Any]]) -> None:
        """Start a process; starting it again replaces it with empty tables."""
        self.kill(process)
        incarnation = self.incarnations[process] = self.incarnations.get(process, 0) + 1
        for role in roles:
            address = RoleAddress(process=process, role=role.name)
            self.roles[address] = role
            self.tables[address] = role.tables
        self.at(0.0, lambda: self._tick_all(process, incarnation))

    def kill(self, process: str) -> None:
        """End a process abruptly; its tables are lost."""
        for address in [
            address for address in self.roles if address.process == process
        ]:
            del self.roles[address], self.tables[address]
        self.incarnations[process] = self.incarnations.get(process, 0) + 1
        self.paused_until.pop(process, None)

    def alive(self, process: str) -> bool:
        """Tell whether the process runs (it may be paused)."""
        return any(address.process == process for address in self.roles)

    def pause(self, process: str, seconds: float) -> None:
        """Pause a process, which delays its events and its outstanding commands."""
        self.paused_until[process] = self.now + seconds

    def deliver(
        self, address: RoleAddress, event: Event, path: Path | None = None
    ) -> None:
        """Deliver an event to a role over a path, unless its process ends first."""
        incarnation = self.incarnations.get(address.process, 0)
        for delay_s in self.delays(path or Path(delay_s=0.0)):
            self.at(delay_s, lambda: self._tick_role(address, incarnation, (event,)))

    def delays(self, path: Path) -> tuple[float, ...]:
        """Return the delay of each copy of a message on a path; none if it is lost."""
        loss_draw, self.rng = self.rng.draw(100)
        repeat_draw, self.rng = self.rng.draw(100)
        if loss_draw < path.lose_percent:
            return ()
        delays_s: list[float] = []
        for _ in range(2 if repeat_draw < path.repeat_percent else 1):
            permille, self.rng = self.rng.draw(1000)
            delays_s.append(path.delay_s + path.jitter_s * permille / 1000)
        return tuple(delays_s)

    def run(self, until: float) -> None:
        """Run all actions that are due up to a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def change(self, address: RoleAddress, **fields: Any) -> None:
        """Replace fields of a role's tables, to set up a test case."""
        self.tables[address] = replace(self.tables[address], **fields)

    def _remaining_pause_s(self, process: str) -> float:
        return max(0.0, self.paused_until.get(process, 0.0) - self.now)

    def _tick_all(self, process: str, incarnation: int) -> None:
        if self.incarnations.get(process) != incarnation:
            return
        for address in [
            address for address in self.roles if address.process == process
        ]:
            self._tick_role(address, incarnation, ())
        wait_s = max(TICK_INTERVAL_S, self._remaining_pause_s(process))
        self.at(wait_s, lambda: self._tick_all(process, incarnation))

    def _tick_role(
        self, address: RoleAddress, incarnation: int, events: tuple[Event, ...]
    ) -> None:
        if (
            self.incarnations.get(address.process) != incarnation
            or address not in self.roles
        ):
            return
        pause_s = self._remaining_pause_s(address.process)
        if pause_s:
            if events:
                self.at(pause_s, lambda: self._tick_role(address, incarnation, events))
            return
        step = self.roles[address].tick(self.tables[address], events, self.now)
        self.tables[address] = step.tables
        for command in step.commands:
            self._execute_command(address, incarnation, command)

    def _execute_command(
        self, address: RoleAddress, incarnation: int, command: Command
    ) -> None:
        """Carry out a command, or delay it if a hook has just paused the process."""
        if self.incarnations.get(address.process) != incarnation:
            return
        pause_s = self._remaining_pause_s(address.process)
        if pause_s:
            self.at(
                pause_s, lambda: self._execute_command(address, incarnation, command)
            )
            return
        for hook in tuple(self.command_hooks):
            hook(self, address, command)
        if self.incarnations.get(address.process) != incarnation:
            return
        pause_s = self._remaining_pause_s(address.process)
        if pause_s:
            self.at(pause_s, lambda: self._carry_out(self, address, command))
            return
        self._carry_out(self, address, command)
