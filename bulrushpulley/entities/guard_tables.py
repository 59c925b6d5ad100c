"""The tables of the guard, the role that runs requests on the backend server."""

from __future__ import annotations

from dataclasses import dataclass

from pyrsistent import PMap, pmap

from bulrushpulley.entities.execution import (
    Execution,
    StoredOutcome,
    by_request_id,
    by_state,
)
from bulrushpulley.entities.key_queue import KeyQueue
from bulrushpulley.entities.step import Command
from bulrushpulley.entities.table import Table


@dataclass(frozen=True, kw_only=True, slots=True)
class GuardDone(Command):
    """All requests have been answered after `Leave`; the process may exit."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryLink:
    """A linked entry, keyed by its incarnation."""

    peer: str
    region: str


@dataclass(frozen=True, kw_only=True, slots=True)
class GuardSettings:
    """The identity of the agent and the capacity of its backend server."""

    agent: str
    incarnation: str
    service: str
    region: str
    failure_domain: str
    slots: int
    queue_limit: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AnnouncedState:
    """The contents of an announcement and when it was sent."""

    sent_at: float = float("-inf")
    running: int = 0
    queued: int = 0
    healthy: bool = False
    leaving: bool = False
    applied_revision: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class GuardTables:
    """The state of a guard.

    `stored_outcomes` holds the outcomes of unrepeatable ids and `outcome_order` their
    ids, oldest first. Until `outcomes_missing_until` an outcome may have been dropped
    before it expired, so an unknown id cannot be reported as not run.
    `body_order` holds, oldest first, the ids whose answers still have their bodies,
    `body_bytes` in total. `refused_attempts` holds attempts that were answered "not
    run" and must never run; `refused_order` holds the same ones, oldest first.
    `service_s` is the average run time, and `failures` counts consecutive failed runs.
    """

    settings: GuardSettings
    executions: Table[Execution]
    links: Table[EntryLink]
    stored_outcomes: Table[StoredOutcome]
    outcome_order: KeyQueue
    body_order: KeyQueue
    refused_attempts: PMap[str, None]
    refused_order: KeyQueue
    announced: AnnouncedState
    body_bytes: int = 0
    outcomes_missing_until: float = 0.0
    service_s: float = 0.0
    healthy: bool = True
    failures: int = 0
    check_at: float = 0.0
    applied_revision: int = 0
    leaving: bool = False
    linger_until: float = 0.0
    done: bool = False

    @staticmethod
    def empty(*, settings: GuardSettings) -> GuardTables:
        """Return the tables of a guard that has just started."""
        return GuardTables(
            settings=settings,
            executions=Table.empty(
                indexes={"state": by_state, "request_id": by_request_id}
            ),
            links=Table.empty(),
            stored_outcomes=Table.empty(),
            outcome_order=KeyQueue(),
            body_order=KeyQueue(),
            refused_attempts=pmap(),
            refused_order=KeyQueue(),
            announced=AnnouncedState(),
        )
