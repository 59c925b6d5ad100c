"""Reads the lines of owners about books that differ from those of agents and tables."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from scripts.idle_lines import Span
from scripts.log_lines import Line

AGE = re.compile(r"(?:for|after) (\d+\.\d+) s")
ROWS_LEFT_OUT = re.compile(r"; (\d+) more are not logged$")
ROW = "row"
# A line of this kind only names the runs of a difference.
NAMED = "named"


@dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """A difference that an owner logged, with the kind that it had first.

    It lasted for the span at least, and exactly if it `agreed`. A row that was missed
    is added as soon as it is noticed, and no line says for how long it was missed.
    """

    process: str
    subject: str
    kind: str
    span: Span
    agreed: bool = False


def differences_of(lines: Iterable[Line]) -> list[Difference]:
    """Return the differences, by their first line.

    A line whose difference began after the line before belongs to the next difference,
    also if the line of the end of the one before is missing.
    """
    found: list[Difference] = []
    last_by_books: dict[tuple[str, str], int] = {}
    for line in lines:
        if line.message_type not in ("books.differ", "books.agree"):
            continue
        if line.chosen == ROW:
            found.extend(_missed_rows(line))
            continue
        age = AGE.match(line.reason)
        if line.chosen == NAMED or age is None:
            continue
        agreed = line.message_type == "books.agree"
        span = Span(start_s=line.timestamp - float(age[1]), end_s=line.timestamp)
        books = line.task_uuid, line.subject
        number = last_by_books.get(books)
        if number is not None and _continues(found[number], span):
            found[number] = replace(
                found[number],
                span=replace(found[number].span, end_s=span.end_s),
                agreed=agreed,
            )
            continue
        last_by_books[books] = len(found)
        found.append(
            Difference(
                process=line.process,
                subject=line.subject,
                kind=line.chosen,
                span=span,
                agreed=agreed,
            )
        )
    return found


def _missed_rows(line: Line) -> list[Difference]:
    left_out = ROWS_LEFT_OUT.search(line.reason)
    row = Difference(
        process=line.process,
        subject=line.subject,
        kind=ROW,
        span=Span(start_s=line.timestamp, end_s=line.timestamp),
        agreed=True,
    )
    return [row] * (1 + int(left_out[1] if left_out else 0))


def _continues(known: Difference, span: Span) -> bool:
    return not known.agreed and span.start_s <= known.span.end_s


def books_line(lines: Sequence[Line]) -> str:
    """Return how many differences there were, by kind, and the oldest, as text."""
    found = differences_of(lines)
    if not found:
        return "books: no difference"
    counts = Counter(difference.kind for difference in found)
    kinds = ", ".join(f"{count} {kind}" for kind, count in sorted(counts.items()))
    text = f"books: {len(found)} differences, {kinds}"
    open_count = sum(not difference.agreed for difference in found)
    if open_count:
        text += f"; {open_count} without a line that they agree"
    aged = [difference for difference in found if difference.kind != ROW]
    if not aged:
        return text
    oldest = max(aged, key=lambda difference: difference.span.length_s)
    return (
        f"{text}; the oldest {oldest.span.length_s:.2f} s, {oldest.kind} of"
        f" {oldest.subject}, from {oldest.span.start_s:.3f} s"
    )
