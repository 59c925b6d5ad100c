"""Log lines, counters and durations that systems emit.

A decision line names the choice, its reason and the rejected alternatives, so that
an operator can follow one request or task through the logs by `subject`.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.step import Command


@dataclass(frozen=True, kw_only=True, slots=True)
class Decision(Command):
    """One decision, such as a routing or a placement, written as one log line.

    `kind` is a dotted name such as ``route.dispatch``, and `subject` the id of the
    request, task or cell. `passed_over` lists the rejected alternatives. `revision`
    and `epoch` are those that the decision was based on.
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
    """Adds `by` to the counter `name` for `label` (a service, department or cell)."""

    name: str
    label: str = ""
    by: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Observe(Command):
    """Records a duration in the histogram `name` for `label`."""

    name: str
    seconds: float
    label: str = ""
