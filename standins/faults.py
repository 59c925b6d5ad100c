"""Faults that a stand-in can be switched to, and the pace at which it works.

Both are values: the time is passed in, so that tests in virtual time and the HTTP
servers use the same rules.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

MAX_QUEUE_WAIT_S = 2.0


class Mode(enum.Enum):
    """How a stand-in answers."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"


@dataclass(frozen=True, kw_only=True, slots=True)
class Switch:
    """A mode that lasts for `seconds` (0: until the next switch).

    `delay_s` is how much later each request takes effect in mode ``slow``.
    """

    mode: Mode
    seconds: float = 0.0
    delay_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Faults:
    """The mode in force; after `until` the stand-in is up again."""

    mode: Mode = Mode.UP
    until: float = float("inf")
    delay_s: float = 0.0

    def switched(self, switch: Switch, now: float) -> Faults:
        """Return the faults after a switch."""
        until = now + switch.seconds if switch.seconds else float("inf")
        return Faults(mode=switch.mode, until=until, delay_s=switch.delay_s)

    def mode_at(self, now: float) -> Mode:
        """Return the mode in force at `now`."""
        return self.mode if now < self.until else Mode.UP

    def delay_at(self, now: float) -> float:
        """Return how much later a request that comes at `now` takes effect."""
        return self.delay_s if self.mode_at(now) is Mode.SLOW else 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimiter:
    """A bounded number of operations a second, served in order."""

    per_s: float
    free_at: float = 0.0

    def starts_at(self, now: float) -> float:
        """Return when an operation that comes at `now` is served."""
        return max(now, self.free_at)

    def accepts(self, now: float) -> bool:
        """Tell whether an operation that comes at `now` is served at all."""
        return self.starts_at(now) - now <= MAX_QUEUE_WAIT_S

    def reserved(self, now: float) -> RateLimiter:
        """Return the pace after an operation that came at `now`."""
        return replace(self, free_at=self.starts_at(now) + 1.0 / self.per_s)
