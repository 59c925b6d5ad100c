"""Chooses the room of each task of a step.

The tasks of a step want the same, so what was ranked for one of them holds for the
next in every room that has not changed since.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.jobs.task import Task
from bulrushpulley.systems.scheduling import advising
from bulrushpulley.systems.scheduling.ranking import (
    HarmPart,
    Kind,
    Room,
    cost,
    fits,
    holds_back,
)

# Least first: not near the data, and how dear the room is.
Rank = tuple[bool, float]


@dataclass(frozen=True, kw_only=True, slots=True)
class Wanted:
    """What the tasks of a step want of a host.

    `tickets` are those of advice by backend server, None where none are needed.
    `waited_s` is how long the tasks have waited.
    """

    step: StepSpec
    kind: Kind
    service: str
    tickets: Mapping[str, str] | None
    harm_part: HarmPart
    waited_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Ranked:
    """The rank of a room as it was; None where the task may not go there."""

    room: Room
    rank: Rank | None


def choose(
    wanted: Wanted,
    room_by_host: Mapping[str, Room],
    task: Task,
    siblings: Counter[str],
    ranked_by_host: dict[str, Ranked],
) -> Room | None:
    """Return the best room for a task, and keep what was ranked in `ranked_by_host`."""
    limit = wanted.step.per_host_limit
    fitting: list[tuple[Rank, str]] = []
    for name, room in room_by_host.items():
        known = ranked_by_host.get(name)
        if known is None or known.room is not room:
            known = Ranked(room=room, rank=_rank(wanted, room, room_by_host))
            ranked_by_host[name] = known
        if known.rank is not None and not (limit and siblings[name] >= limit):
            fitting.append((known.rank, name))
    if task.avoided_hosts:
        fitting = [
            pair for pair in fitting if pair[1] not in task.avoided_hosts
        ] or fitting
    if wanted.step.one_rack:
        fitting = _same_rack(fitting, room_by_host, siblings)
    return room_by_host[min(fitting)[1]] if fitting else None


def _rank(wanted: Wanted, room: Room, rooms: Mapping[str, Room]) -> Rank | None:
    step, host = wanted.step, room.host
    if host.service != wanted.service:
        return None
    if step.needs_label and step.needs_label not in host.labels:
        return None
    if wanted.tickets is not None and advising.server_of(host) not in wanted.tickets:
        return None
    spare_part = _spare_part(rooms) if step.lasting else 1.0
    if not fits(step, room, spare_part):
        return None
    if holds_back(wanted.kind, step, room, wanted.harm_part, wanted.waited_s):
        return None
    is_far = bool(step.near_rack) and host.rack != step.near_rack
    return is_far, cost(wanted.kind, step, room, wanted.harm_part)


def _spare_part(rooms: Mapping[str, Room]) -> float:
    """Return what is free of the processors of all open hosts, as a part of them."""
    capacity = sum(room.host.capacity.processors_m for room in rooms.values())
    free = sum(room.free.processors_m for room in rooms.values())
    return free / max(1, capacity)


def _same_rack(
    fitting: list[tuple[Rank, str]],
    room_by_host: Mapping[str, Room],
    siblings: Counter[str],
) -> list[tuple[Rank, str]]:
    """Keep the rooms in the racks of the tasks that are placed, if there are any."""
    racks = {room_by_host[name].host.rack for name in siblings if name in room_by_host}
    near = [pair for pair in fitting if room_by_host[pair[1]].host.rack in racks]
    return near or fitting
