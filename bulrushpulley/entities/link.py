"""The messages that agents and entries exchange over a link.

An agent connects to every entry and keeps one stream to each. All messages between
the two are sent on that stream in batches; these are its items, independent of the
encoding. Each is an event for the role that receives it.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.commit import Submission, VersionedRow
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import Problem, Ran


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkEvent(Event):
    """Base class for the items; `peer` is the sending process's incarnation."""

    peer: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkUp(LinkEvent):
    """A stream to `peer`, a process of `region`, was opened."""

    region: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkDown(LinkEvent):
    """The stream to `peer` has ended; nothing more arrives on it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Announce(LinkEvent):
    """The state of an agent's backend server, from agent to entries.

    `agent` is the name in the settings; `incarnation` is unique to the process.
    `running` and `queued` count requests. If `leaving` is set, the agent accepts no
    new requests. `applied_revision` is the configuration revision in force at the
    agent.
    """

    agent: str
    incarnation: str
    service: str
    region: str
    failure_domain: str
    slots: int
    running: int
    queued: int
    healthy: bool
    leaving: bool
    applied_revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Dispatch(LinkEvent):
    """A request for the agent's backend server, from entry to agent.

    `attempt_id` is unique to this dispatch; `request_id` is the caller's id, or
    empty if the caller gave none. `remaining_s` is the time left until the caller's
    deadline when the entry dispatched the request.
    """

    attempt_id: str
    request_id: str
    service: str
    repeatable: bool
    remaining_s: float
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class Recall(LinkEvent):
    """Asks the agent named by a claim for the outcome of the claimed request.

    An agent that does not hold `request_id` and certainly has not run it answers
    `Refused` with `Ran.NO` and refuses that id from then on.
    """

    attempt_id: str
    request_id: str
    service: str
    remaining_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Abandon(LinkEvent):
    """Tells the agent that the outcome of an attempt is no longer needed."""

    attempt_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Answered(LinkEvent):
    """The complete answer of a backend server to one attempt, from agent to entry."""

    attempt_id: str
    status: int
    body: bytes
    took_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused(LinkEvent):
    """An attempt ended without a complete answer; `ran` says whether it ran."""

    attempt_id: str
    ran: Ran
    problem: Problem


@dataclass(frozen=True, kw_only=True, slots=True)
class DepartmentUse:
    """The resources committed to the tasks of one department in a cell."""

    department: str
    committed: Resources


@dataclass(frozen=True, kw_only=True, slots=True)
class CellSummary(LinkEvent):
    """The state of a cell as reported by its owner, from agent to entries.

    `free` is the sum over the cell's workers, `largest` the most that is free on one
    worker; `waiting` counts tasks assigned to the cell but not started.
    """

    cell: str
    owner: str
    epoch: int
    failure_domain: str
    region: str
    free: Resources
    largest: Resources
    waiting: int
    running: int
    uses: tuple[DepartmentUse, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Offer(LinkEvent):
    """Offers an agent a cell without a reporting owner, from entry to agent.

    Ownership is acquired through the lease row; an offer alone grants nothing.
    """

    cell: str


@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelled(LinkEvent):
    """Tells owners to stop the tasks of a cancelled job, from entry to agents."""

    job: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Submit(LinkEvent):
    """A submission that an agent asks an entry to commit."""

    submission: Submission


@dataclass(frozen=True, kw_only=True, slots=True)
class Fetch(LinkEvent):
    """Asks an entry to read the rows under a prefix that changed since a revision."""

    fetch_id: str
    prefix: str
    since: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Fetched(LinkEvent):
    """The rows of a `Fetch`, complete up to `revision`; deleted rows are None.

    `failed` is the reason why nothing could be read, or empty.
    """

    fetch_id: str
    prefix: str
    revision: int
    rows: tuple[VersionedRow, ...]
    failed: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Configured(LinkEvent):
    """Configuration rows that have come into force, from entry to agents.

    `base` is the revision that the receiver must already have, `revision` the one
    it has after applying the rows. With base 0 the rows are the full configuration.
    """

    base: int
    revision: int
    rows: tuple[VersionedRow, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryAddress:
    """The address at which a live entry accepts links."""

    name: str
    incarnation: str
    host: str
    port: int
    region: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Entries(LinkEvent):
    """The live entries, from entry to agents, whenever the list changes."""

    entries: tuple[EntryAddress, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Assigned(LinkEvent):
    """Tells a cell's owner that rows of the cell have changed in the store."""

    cell: str
    rows: tuple[VersionedRow, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Send(Command):
    """Sends an item on the stream to `peer`; it is lost if the stream ends."""

    peer: str
    item: Event
