"""The reasons for which a host takes no task of a step."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass


class Exclusion(enum.Enum):
    """Why a host takes no task of a step, in the order in which it is examined.

    The first six concern the host whatever the task is; the others depend on the step.
    """

    NOT_READY = "not ready"
    NOT_SYNCED = "not synced"
    CONTACT_TOO_OLD = "contact too old"
    EVACUATED = "evacuated"
    UPKEEP = "closed for upkeep"
    QUARANTINED = "quarantined"
    OTHER_SERVICE = "other service"
    NO_LABEL = "no label"
    NO_TICKET = "no ticket"
    NO_ROOM = "no room"
    HARM = "held back for harm"
    HOST_LIMIT = "per-host limit"


def describe_counts(count_by_exclusion: Mapping[Exclusion, int]) -> str:
    """Return the counts as text, in the order in which reasons are examined."""
    parts = [
        f"{reason.value} {count_by_exclusion[reason]}"
        for reason in Exclusion
        if count_by_exclusion.get(reason)
    ]
    return ", ".join(parts) or "no host is excluded"


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldBack:
    """Why no host took a task of a step in a placement pass.

    `closed` counts the hosts that are closed for all tasks; `excluded` has the reason
    of each other host that was excluded at first.
    """

    closed: Mapping[Exclusion, int]
    excluded: Sequence[Exclusion]

    def describe(self) -> str:
        """Return the counts of hosts by reason as text."""
        return describe_counts(Counter(self.closed) + Counter(self.excluded))
