"""The reasons for which a host takes no task of a step."""

from __future__ import annotations

import enum


class Exclusion(enum.Enum):
    """Why a host takes no task of a step, in the order in which it is examined.

    The first six concern the host whatever the task is; the others depend on the step.
    """

    NOT_READY = "not ready"
    NOT_SYNCED = "not synced"
    CONTACT_TOO_OLD = "contact too old"
    QUARANTINED = "quarantined"
    EVACUATED = "evacuated"
    UPKEEP = "closed for upkeep"
    OTHER_SERVICE = "other service"
    NO_LABEL = "no label"
    NO_TICKET = "no ticket"
    NO_ROOM = "no room"
    HARM = "held back for harm"
    HOST_LIMIT = "per-host limit"
