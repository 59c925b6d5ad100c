"""Reads the lines that the processes of a deployment logged."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

import msgspec

OBJECT_START = '{"timestamp"'
LEADING_TIME = re.compile(r"(-?\d+\.\d+) \S+ $")


@dataclass(frozen=True, kw_only=True, slots=True)
class Line:
    """One line, with the names of its fields in the log."""

    timestamp: float
    message_type: str
    task_uuid: str = ""
    task_level: tuple[int, ...] = (0,)
    process: str = ""
    subject: str = ""
    chosen: str = ""
    reason: str = ""


def parse(texts: Iterable[str]) -> list[Line]:
    """Return the lines of a log, in the sequence of their times.

    The time is the number before the line, else that of the previous one, else the
    line's own, which changes with the clock of its host. A line may follow on what is
    left of one that was cut. The line of the lost runs of a host is followed by a
    `task.end` for each of them, with the number of that line.
    """
    lines: list[Line] = []
    at_s: float | None = None
    for text in texts:
        leading, start, body = text.rpartition(OBJECT_START)
        if found := LEADING_TIME.search(leading):
            at_s = float(found[1])
        try:
            line = msgspec.json.decode(start + body, type=Line)
        except msgspec.DecodeError:
            continue
        line = line if at_s is None else replace(line, timestamp=at_s)
        lines.extend((line, *_ends_of_lost_runs(line)))
    return sorted(lines, key=lambda line: line.timestamp)


def _ends_of_lost_runs(line: Line) -> Iterator[Line]:
    if line.message_type != "host.lost":
        return
    reason, _, runs = line.reason.rpartition(": ")
    for run in runs.split():
        yield replace(
            line,
            message_type="task.end",
            subject=run,
            chosen=line.subject,
            reason=f"lost {reason}",
        )


def missing_times_s(lines: Iterable[Line]) -> list[float]:
    """Return the times after which lines of owners are missing."""
    owners = {line.task_uuid for line in lines if line.message_type == "job.accept"}
    number_by_process: dict[str, int] = {}
    times_s: list[float] = []
    for line in sorted(lines, key=lambda line: (line.timestamp, line.task_level)):
        number = line.task_level[0]
        if line.task_uuid in owners:
            if number > number_by_process.get(line.task_uuid, number) + 1:
                times_s.append(line.timestamp)
            number_by_process[line.task_uuid] = number
    return times_s
