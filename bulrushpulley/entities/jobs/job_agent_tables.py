"""The tables of the keeper, the role of an agent that runs tasks on its server.

What the owner of the shard ordered stands beside what the backend server lists; the
systems bring the second to the first.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from pyrsistent import PMap, pmap

from bulrushpulley.entities.jobs.bounds import Bounds
from bulrushpulley.entities.jobs.host import ServerState
from bulrushpulley.entities.jobs.items import HostReport
from bulrushpulley.entities.jobs.runs import RunEnd, RunOrder, RunRef, RunStatus
from bulrushpulley.entities.resources import NO_RESOURCES, Resources
from bulrushpulley.entities.step import Step
from bulrushpulley.entities.table import Table

JOB_AGENT = "keeper"


class RunPhase(enum.Enum):
    """Where a run stands on the backend server.

    ORDERED was not sent yet, STARTING has no sure answer, and BARRED can never start
    any more once a list without it was asked for after `barred_at`.
    """

    ORDERED = "ordered"
    STARTING = "starting"
    RUNNING = "running"
    BARRED = "barred"


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """One run: the order for it, if one came, and what the backend server says.

    An unwanted run is stopped. No call about it goes out before `retry_at`, or while
    one is in flight. It is `unsure` once a start got no answer, and `denied`
    says why the backend server denied one. `pace` is the
    percentage of its speed that it should have, `pace_set` the last one that was
    taken, or zero if that is not known.
    """

    ref: RunRef
    phase: RunPhase
    wanted: bool = True
    order: RunOrder | None = None
    status: RunStatus | None = None
    in_flight: bool = False
    retry_at: float = 0.0
    since: float = 0.0
    started_at: float = 0.0
    barred_at: float = 0.0
    unconfirmed: bool = False
    unhealthy: bool = False
    denied: str = ""
    pace: int = 100
    pace_set: int = 100
    pace_in_flight: bool = False
    next_pace_at: float = 0.0
    pace_uncertain_until: float = 0.0
    reported: RunStatus | None = None
    reported_at: float = 0.0

    @property
    def key(self) -> str:
        """Its key in the table of runs."""
        return self.ref.key

    @property
    def committed(self) -> Resources:
        """The room that it takes, if known."""
        return self.order.committed if self.order else NO_RESOURCES


@dataclass(frozen=True, kw_only=True, slots=True)
class Server:
    """The present life of the backend server.

    `clock_ms` is the newest time of its clock that an answer carried, `noted` the
    number up to which its ends are durable. `lease_sent_at` is when a lease was last
    asked for it.
    """

    server_id: str
    started_at_ms: int
    sequence: int
    service: str
    address: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    leaves_in_s: float = 0.0
    clock_ms: int = 0
    noted: int = 0
    noted_out_of_order: frozenset[int] = frozenset()
    lease_sent_at: float = 0.0
    listed: bool = False

    @property
    def life(self) -> str:
        """The name of this life, which no other life has."""
        return f"{self.server_id}/{self.started_at_ms}"


@dataclass(frozen=True, kw_only=True, slots=True)
class PollState:
    """The call that lists runs; `failing_since` is set while it gets no answer."""

    in_flight: bool = False
    sent_at: float = 0.0
    retry_at: float = 0.0
    failing_since: float | None = None
    connections_refused: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Pacing:
    """When paces were last decided, and what the owner has told of pairs of images.

    `near_since` is since when the serving tasks of an image have been near their
    target without a break.
    """

    decided_at: float = 0.0
    harmful: frozenset[tuple[str, str]] = frozenset()
    harmless: frozenset[tuple[str, str]] = frozenset()
    near_target_since: PMap[str, float] = field(default_factory=pmap)


def by_phase(run: Run) -> tuple[str, ...]:
    """Index runs by phase, and those to be stopped besides."""
    if run.wanted:
        return (run.phase.value,)
    return (run.phase.value, "unwanted")


@dataclass(frozen=True, kw_only=True, slots=True)
class JobAgentTables:
    """The whole state of the role.

    `epoch` is the newest owner's that adopted this agent, at `owner` while linked.
    `contact_at` is when the last contact that it answered was sent. `ordered` says
    that its whole list of runs has come for the present life. `stalled_since` is
    when the serving runs were first seen to stand still together, `began_at` when this
    process began to look for its server. `ends` are kept by
    number until the server forgets them.
    """

    host: str
    failure_domain: str
    region: str
    address: str
    bounds: Bounds
    service: str = ""
    owner: str = ""
    epoch: int = 0
    contact_at: float = -60.0
    contact_sent_at: float = -60.0
    orders_complete: bool = False
    server: Server | None = None
    server_state: ServerState = ServerState.UNKNOWN
    stalled_since: float | None = None
    search_began_at: float | None = None
    poll: PollState = PollState()
    runs: Table[Run] = field(
        default_factory=lambda: Table.empty(indexes={"phase": by_phase})
    )
    ends: PMap[int, RunEnd] = field(default_factory=pmap)
    last_end_sent: int = 0
    pacing: Pacing = field(default_factory=Pacing)
    measures_sent_at: float = 0.0
    reported: HostReport | None = None
    synced: bool = False
    registered: bool = False
    registering: bool = False
    register_at: float = 0.0
    leaving: bool = False


JobAgentStep = Step[JobAgentTables]
