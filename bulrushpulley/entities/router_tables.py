"""The tables of the router, the role that sends callers' requests to agents."""

from __future__ import annotations

from dataclasses import dataclass, field

from pyrsistent import PMap, pmap

from bulrushpulley.entities.backend_server import BackendServer, by_service
from bulrushpulley.entities.changing import replace
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
    """All calls have been answered after `Leave`; the process may exit."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """The state and the estimates of a service, keyed by its name.

    `queue` holds the ids of waiting calls, oldest first; it may still contain ids of
    calls that have ended. `interarrival_s` is the average time between arrivals,
    `service_s` the average run time, `claim_latency_s` the average time until the
    outcome of a claim is known, and `latency_p95_s` the estimated 95th percentile of
    the latency. Each token permits one retry or hedge.
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
    """A claim row that this router will delete at `delete_at`, keyed by its key."""

    key: str
    version: int
    delete_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimPage:
    """The last read of one page of claims, keyed by the page's prefix.

    Rows whose version is still at most `revision` are older than `read_at`.
    """

    prefix: str
    revision: int
    read_at: float


def by_deletion(claim: ClaimDeletion) -> tuple[str, ...]:
    """Index function: the time bucket of the deletion."""
    return (str(int(claim.delete_at / CLAIM_DELETION_BUCKET_S)),)


@dataclass(frozen=True, kw_only=True, slots=True)
class RouterTables:
    """The state of a router.

    `links` maps the incarnation of each linked agent to its region. `revision` is the
    configuration revision in force. `last_timer_bucket` is the last timer bucket that
    was processed. `sequence` numbers attempts, submissions and reads. `busy_services`
    names the services with waiting calls, and `body_bytes` is the total size of the
    bodies held.
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
    next_page_read_at: float = 0.0
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

    def with_new_id(self) -> tuple[RouterTables, str]:
        """Return the tables and a new id that is unique in this process."""
        number = self.sequence + 1
        return replace(self, sequence=number), f"{self.incarnation}.{number}"

    def service(self, name: str) -> Service:
        """Return the row of a service, or a new one."""
        return self.services.get(name) or Service(name=name)
