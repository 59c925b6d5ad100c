"""A run as a picture in text: what happened in each stretch of it.

Example of a line: the stretch, jobs accepted and refused, starts as a bar, and what was
done to the site::

      6 s   7 acc   0 ref  ######### 18  Kill StoreTrouble
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
    """Return what a sight is counted as; most are not shown."""
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
    """Return the lines of a run that began at `began`."""
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
            f" {count['refused'] + count['unsure']:3d} ref"
            f"  {bar} {count['started']}  {' '.join(fault_names[interval])}".rstrip()
        )
    return lines
