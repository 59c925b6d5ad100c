"""Reads the lines of owners about idle spans and about the capacity in use."""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from bulrushpulley.systems.lasting_states import FIRST_REPORT_AGE_S, REPORT_INTERVAL_S
from bulrushpulley.systems.scheduling import idle_reports
from scripts.log_lines import Line

IDLE_LENGTH = re.compile(r"idle for (\d+\.\d+) s(?:, ended (\d+\.\d+) s ago)?")
ROOM_LENGTH = re.compile(r"room (\d+\.\d+) s")
COMMITTED = re.compile(r"committed processors (\d+\.\d+), memory (\d+\.\d+)")
# Shorter spans have no line.
MIN_LOGGED_SPAN_S = idle_reports.MIN_LOGGED_SPAN_S
# Room that lasts for longer is reported; this is a report, an examination and a tick.
MAX_UNREPORTED_ROOM_S = FIRST_REPORT_AGE_S + REPORT_INTERVAL_S + 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class Span:
    """A span of time."""

    start_s: float
    end_s: float

    @property
    def length_s(self) -> float:
        """The length."""
        return self.end_s - self.start_s


@dataclass(frozen=True, kw_only=True, slots=True)
class Room:
    """For how long on end there was room for a task twice in a time.

    It is at least `seen_s`, and at most `possible_s` with what is not known.
    """

    seen_s: float
    possible_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class IdleLine:
    """What a `job.idle_span` line tells."""

    subject: str
    span: Span
    room_s: float
    lasts: bool


def idle_lines_by_subject(lines: Iterable[Line]) -> Mapping[str, Sequence[IdleLine]]:
    """Return the spans that owners logged, by job or lasting task.

    A job whose tasks last has no spans of its own; those of its tasks count for it.
    """
    found: defaultdict[str, list[IdleLine]] = defaultdict(list)
    for line in lines:
        length = IDLE_LENGTH.match(line.reason)
        if line.message_type != "job.idle_span" or length is None:
            continue
        end_s = line.timestamp - float(length[2] or 0.0)
        span = Span(start_s=end_s - float(length[1]), end_s=end_s)
        room = ROOM_LENGTH.fullmatch(line.chosen)
        room_s = float(room[1]) if room else 0.0
        found[line.subject].append(
            IdleLine(
                subject=line.subject, span=span, room_s=room_s, lasts=length[2] is None
            )
        )
    for subject, logged in tuple(found.items()):
        job_id, is_task, _ = subject.partition(".")
        if is_task:
            found[job_id].extend(logged)
    return found


def owned_times_s(lines: Iterable[Line]) -> Sequence[float]:
    """Return when owners took over."""
    return [line.timestamp for line in lines if line.message_type == "shard.own"]


def room_in(gap: Span, logged: Sequence[IdleLine], owned_s: Sequence[float]) -> Room:
    """Return for how long there was room in a gap, from the lines about its subject.

    `owned_s` are the times at which owners took over.
    """
    pieces = _pieces(gap, logged)
    if not pieces:
        return Room(seen_s=0.0, possible_s=gap.length_s)
    seen_s = max(min(piece.room_s, piece.span.length_s) for piece in pieces)
    joined_s = sum(min(piece.room_s, piece.span.length_s) for piece in pieces)
    covered_s = sum(piece.span.length_s for piece in pieces)
    unknown_s = max(0.0, gap.length_s - covered_s)
    last_s = pieces[-1].span.end_s
    if pieces[-1].lasts and not any(last_s < at <= gap.end_s for at in owned_s):
        # More room after the last line would have been reported.
        tail_s = gap.end_s - last_s
        unknown_s -= max(0.0, tail_s - MAX_UNREPORTED_ROOM_S)
    return Room(seen_s=seen_s, possible_s=min(gap.length_s, joined_s + unknown_s))


def _pieces(gap: Span, logged: Sequence[IdleLine]) -> list[IdleLine]:
    """Return the parts of a gap that lines cover, one for each span of an owner."""
    pieces: list[IdleLine] = []
    for line in sorted(logged, key=lambda line: (line.span.start_s, line.span.end_s)):
        span = Span(
            start_s=max(gap.start_s, line.span.start_s),
            end_s=min(gap.end_s, line.span.end_s),
        )
        if span.length_s <= 0.0:
            continue
        part = replace(line, span=span)
        last = pieces[-1] if pieces else None
        if last is None or span.start_s >= last.span.end_s:
            pieces.append(part)
        elif span.end_s > last.span.end_s:
            joined = replace(span, start_s=last.span.start_s)
            room_s = max(last.room_s, part.room_s)
            pieces[-1] = replace(part, span=joined, room_s=room_s)
    return pieces


def describe_room(span: Span, room: Room) -> str:
    """Return how much room there was in a gap, as text."""
    if span.length_s < MIN_LOGGED_SPAN_S:
        return "room not known, too short"
    if room.possible_s - room.seen_s < MIN_LOGGED_SPAN_S:
        return f"room for {room.seen_s:.2f} s" if room.seen_s else "no room"
    return f"room for {room.seen_s:.2f} s, perhaps {room.possible_s:.2f} s"


def capacity_lines(lines: Sequence[Line]) -> list[str]:
    """Return the last line about the capacity in use of each service, as text."""
    last_by_service = {
        line.subject: line for line in lines if line.message_type == "capacity.use"
    }
    printed: list[str] = []
    for service, line in sorted(last_by_service.items()):
        found = COMMITTED.search(line.reason)
        fractions = [float(found[1]), float(found[2])] if found else []
        under = [
            f"{name} {'under' if fraction < 0.5 else 'not under'} one half"
            for name, fraction in zip(("processors", "memory"), fractions, strict=False)
        ]
        printed.append(
            f"{service} at {line.timestamp:.3f} s, {line.chosen}: {line.reason}:"
            f" {', '.join(under)}"
        )
    return printed
