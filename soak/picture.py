"""A text chart of a run with one line for each `PICTURE_INTERVAL_S`.

A line has the start of the interval, the attempts to submit a job that were accepted,
those that were refused or whose outcome is unknown, the started runs as a bar and as a
number, and the faults injected::

      6 s   7 acc   0 ref  ######### 18  Kill StoreFault
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from functools import singledispatch

from soak.invariants import Answered, Observation, Started
from soak.plan import Fault

PICTURE_INTERVAL_S = 2.0
STARTS_PER_MARK = 2


@singledispatch
def counter_name(observation: Observation) -> str:
    """Return the counter of an observation; empty if it is not in the chart."""
    return ""


@counter_name.register
def _(observation: Started) -> str:
    return "started"


@counter_name.register
def _(observation: Answered) -> str:
    return observation.answer


def draw_picture(
    started_at: float, observations: Iterable[Observation], faults: Iterable[Fault]
) -> list[str]:
    """Return the lines for a run that began at `started_at`."""
    counts: dict[int, Counter[str]] = defaultdict(Counter)
    for observation in observations:
        counts[int((observation.at - started_at) // PICTURE_INTERVAL_S)][
            counter_name(observation)
        ] += 1
    fault_names: dict[int, list[str]] = defaultdict(list)
    for fault in faults:
        fault_names[int(fault.at // PICTURE_INTERVAL_S)].append(type(fault).__name__)
    lines = []
    for interval in range(max(counts, default=0) + 1):
        count = counts[interval]
        bar = "#" * (count["started"] // STARTS_PER_MARK)
        lines.append(
            f"  {interval * PICTURE_INTERVAL_S:4.0f} s {count['accepted']:3d} acc"
            f" {count['refused'] + count['unknown']:3d} ref"
            f"  {bar} {count['started']}  {' '.join(fault_names[interval])}".rstrip()
        )
    return lines
