"""A run as a picture in text: what happened in each stretch of it.

Example of a line: the stretch, jobs accepted and refused, starts as a bar, and what was
done to the site::

      6 s   7 acc   0 ref  ######### 18  Kill StoreTrouble
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from functools import singledispatch

from soak.plan import Fault
from soak.promises import Answered, Sight, Started

STRETCH_S = 2.0
STARTS_IN_A_MARK = 2


@singledispatch
def name_of(sight: Sight) -> str:
    """Return what a sight is counted as; most are not shown."""
    return ""


@name_of.register
def _(sight: Started) -> str:
    return "started"


@name_of.register
def _(sight: Answered) -> str:
    return sight.what


def draw_picture(
    began: float, sights: Iterable[Sight], faults: Iterable[Fault]
) -> list[str]:
    """Return the lines of a run that began at `began`."""
    counts: dict[int, Counter[str]] = defaultdict(Counter)
    for sight in sights:
        counts[int((sight.at - began) // STRETCH_S)][name_of(sight)] += 1
    done: dict[int, list[str]] = defaultdict(list)
    for fault in faults:
        done[int(fault.at // STRETCH_S)].append(type(fault).__name__)
    lines = []
    for stretch in range(max(counts, default=0) + 1):
        count = counts[stretch]
        bar = "#" * (count["started"] // STARTS_IN_A_MARK)
        lines.append(
            f"  {stretch * STRETCH_S:4.0f} s {count['accepted']:3d} acc"
            f" {count['refused'] + count['unsure']:3d} ref"
            f"  {bar} {count['started']}  {' '.join(done[stretch])}".rstrip()
        )
    return lines
