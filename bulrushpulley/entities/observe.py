"""What systems say of their work: decision lines, counts and durations.

A decision line names what was chosen, why, and what was passed over, so that an
operator can follow one request or task through the logs by `subject`.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.step import Command


@dataclass(frozen=True, kw_only=True, slots=True)
class Decision(Command):
    """One routing or placement decision, written as one log line.

    `kind` is a dotted name such as ``route.dispatch``; `subject` the id of the
    request, task or cell; `revision` and `epoch` those the decision rested on.
    """

    kind: str
    subject: str
    chosen: str
    reason: str
    passed_over: tuple[str, ...] = ()
    revision: int = 0
    epoch: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Count(Command):
    """Adds `by` to the counter `name` of `label` (a service, department or cell)."""

    name: str
    label: str = ""
    by: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Observe(Command):
    """Records a duration in the histogram `name` of `label`."""

    name: str
    seconds: float
    label: str = ""
