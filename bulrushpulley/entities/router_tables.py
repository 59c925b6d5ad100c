"""The tables of the router, the role that sends callers' requests to agents."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from pyrsistent import PMap, pmap

from bulrushpulley.entities.backend_server import BackendServer, by_service
from bulrushpulley.entities.key_queue import KeyQueue
from bulrushpulley.entities.request import (
    Attempt,
    Request,
    by_agent,
    by_awaited_link,
    by_due,
)
from bulrushpulley.entities.step import Command
from bulrushpulley.entities.table import Table

CLAIM_DELETION_BUCKET_S = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RouterDone(Command):
    """Every call was answered after `Leave`; the process may exit."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """What the router has learned of a service, keyed by its name.

    `queue` holds the call ids that wait, oldest first; ids of calls that are gone
    may still stand in it. `gap_s` is the average time between arrivals, `service_s`
    that of a run, `claim_s` that of a claim, and `late_s` estimates the 95th
    percentile of the latency. Each token lets one retry or hedge through.
    """

    name: str
    declared: bool = False
    queue: KeyQueue = field(default_factory=KeyQueue)
    waiting: int = 0
    last_arrival_at: float = 0.0
    interarrival_s: float = 1.0
    service_s: float = 0.0
    claim_latency_s: float = 0.0
    latency_p95_s: float = 0.0
    retry_tokens: float = 10.0
    hedge_tokens: float = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimSubmission:
    """A claim that awaits its outcome, keyed by its submission id."""

    submission_id: str
    call_id: str
    key: str
    submitted_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimDeletion:
    """A claim row that this router is to delete at `delete_at`, keyed by its key."""

    key: str
    version: int
    delete_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimPage:
    """The last reading of one page of the claims, keyed by its prefix.

    Rows that still have a version up to `revision` are older than `read_at`.
    """

    prefix: str
    revision: int
    read_at: float


def by_deletion(claim: ClaimDeletion) -> tuple[str, ...]:
    """Index key function: the coarse bucket of the moment of deletion."""
    return (str(int(claim.delete_at / CLAIM_DELETION_BUCKET_S)),)


@dataclass(frozen=True, kw_only=True, slots=True)
class RouterTables:
    """The state of a router.

    `timers_until` is the last timer bucket that was looked at. `sequence` numbers
    attempts and submissions. `busy` names the services with waiting calls and
    `body_bytes` sums the bodies that are held.
    """

    incarnation: str
    region: str
    servers: Table[BackendServer]
    links: Table[str]
    services: Table[Service]
    busy_services: PMap[str, None]
    requests: Table[Request]
    attempts: Table[Attempt]
    submissions: Table[ClaimSubmission]
    claim_deletions: Table[ClaimDeletion]
    claim_pages: Table[ClaimPage]
    body_bytes: int = 0
    sequence: int = 0
    last_timer_bucket: int = -1
    ejection_check_at: float = 0.0
    revision: int = 0
    sweep_at: float = 0.0
    page_read_at: float = 0.0
    page_number: int = 0
    leaving: bool = False
    done: bool = False

    @staticmethod
    def empty(*, incarnation: str, region: str) -> RouterTables:
        """Return the tables of a router that has just started."""
        return RouterTables(
            incarnation=incarnation,
            region=region,
            servers=Table.empty(indexes={"service": by_service}),
            links=Table.empty(),
            services=Table.empty(),
            busy_services=pmap(),
            requests=Table.empty(
                indexes={"due": by_due, "awaited_link": by_awaited_link}
            ),
            attempts=Table.empty(indexes={"agent": by_agent}),
            submissions=Table.empty(),
            claim_deletions=Table.empty(indexes={"deletion": by_deletion}),
            claim_pages=Table.empty(),
        )

    def numbered(self) -> tuple[RouterTables, str]:
        """Return the tables and an id that this process has not used before."""
        number = self.sequence + 1
        return replace(self, sequence=number), f"{self.incarnation}.{number}"

    def service(self, name: str) -> Service:
        """Return what is known of a service."""
        return self.services.get(name) or Service(name=name)
