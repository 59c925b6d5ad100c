"""The fault modes and the rate limit of a stand-in.

Both are immutable and the time is passed in, so that tests in virtual time and the
HTTP servers use the same rules.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace

# Operations that would wait longer are refused.
MAX_QUEUE_WAIT_S = 2.0


class Mode(enum.Enum):
    """How a stand-in answers."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"


@dataclass(frozen=True, kw_only=True, slots=True)
class Switch:
    """Sets a mode for `seconds` (0: until the next switch).

    In mode ``slow`` each request is delayed by `delay_s`.
    """

    mode: Mode
    seconds: float = 0.0
    delay_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Faults:
    """The current mode; after `until` the mode is `UP` again."""

    mode: Mode = Mode.UP
    until: float = float("inf")
    delay_s: float = 0.0

    def switched(self, switch: Switch, now: float) -> Faults:
        """Return the faults after a switch."""
        until = now + switch.seconds if switch.seconds else float("inf")
        return Faults(mode=switch.mode, until=until, delay_s=switch.delay_s)

    def mode_at(self, now: float) -> Mode:
        """Return the current mode at `now`."""
        return self.mode if now < self.until else Mode.UP

    def delay_at(self, now: float) -> float:
        """Return the delay of a request that arrives at `now`."""
        return self.delay_s if self.mode_at(now) is Mode.SLOW else 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RateLimiter:
    """Limits the rate of operations, which are served in order of arrival."""

    per_s: float
    free_at: float = 0.0

    def starts_at(self, now: float) -> float:
        """Return when an operation that arrives at `now` is served."""
        return max(now, self.free_at)

    def accepts(self, now: float) -> bool:
        """Return whether an operation at `now` starts within `MAX_QUEUE_WAIT_S`."""
        return self.starts_at(now) - now <= MAX_QUEUE_WAIT_S

    def reserved(self, now: float) -> RateLimiter:
        """Return the limiter after an operation that arrived at `now`."""
        return replace(self, free_at=self.starts_at(now) + 1.0 / self.per_s)
