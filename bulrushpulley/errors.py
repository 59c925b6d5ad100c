"""The errors of the system and their codes, in one place.

Every error carries the step at which it arose and the peer involved, so that log
lines and HTTP answers show its origin. `Ran` tells a caller whether its request may
have run: only after `Ran.NO` can any request be repeated safely.
"""

from __future__ import annotations

import enum
import traceback
from dataclasses import dataclass
from pathlib import PurePath

# Enough to tell which row or event was handled.
MAX_DESCRIBED_FRAMES = 8


class Code(enum.Enum):
    """A stable name for each kind of error; the value appears on the wire."""

    INVALID = "invalid"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_KIND = "unknown_kind"
    SCHEMA_VERSION = "schema_version"
    TOO_LARGE = "too_large"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    UNAVAILABLE = "unavailable"
    LEAVING = "leaving"


class Ran(enum.Enum):
    """Whether the request of a caller was run by a backend server."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """A typed description of one failure.

    `field` is the dotted path of the offending key for bad input and empty
    otherwise; `step` names the stage, such as ``records.check``; `peer` is the
    process or address involved, or ``self``.
    """

    code: Code
    step: str
    peer: str
    detail: str
    field: str = ""

    def __str__(self) -> str:
        """Format the problem for logs and terminals."""
        where = f" field {self.field}:" if self.field else ""
        return f"{self.code.value} at {self.step} ({self.peer}):{where} {self.detail}"


class BulrushpulleyError(Exception):
    """An exception that carries a problem.

    Several problems found together are raised as an `ExceptionGroup` of these.
    """

    def __init__(self, *, problem: Problem) -> None:
        super().__init__(str(problem))
        self.problem = problem


def describe_error(error: Exception) -> str:
    """Return an unexpected exception and where it was raised, the innermost call first.

    Example::

        "TypeError('...') at room.py:152 _places_on, room.py:118 _room"
    """
    frames = traceback.extract_tb(error.__traceback__)
    places = [
        f"{PurePath(frame.filename).name}:{frame.lineno} {frame.name}"
        for frame in reversed(frames[-MAX_DESCRIBED_FRAMES:])
    ]
    return f"{error!r} at {', '.join(places)}" if places else repr(error)
