"""The tables of the job agent, the role that runs tasks on a host's backend server.

They hold the runs that the owner of the shard ordered and those that the backend
server lists; the systems reconcile the second with the first.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from immutables import Map

from bulrushpulley.entities.jobs.bounds import Bounds
from bulrushpulley.entities.jobs.executor_calls import (
    Announced,
    IncarnationConfirmed,
    IncarnationUnconfirmed,
)
from bulrushpulley.entities.jobs.host import ServerState
from bulrushpulley.entities.jobs.items import HostReport
from bulrushpulley.entities.jobs.rows import HostRow
from bulrushpulley.entities.jobs.runs import RunEnd, RunOrder, RunRef, RunStatus
from bulrushpulley.entities.resources import NO_RESOURCES, Resources
from bulrushpulley.entities.step import Step
from bulrushpulley.entities.table import Table

# The name of the role in logs and metrics.
JOB_AGENT = "keeper"


class RunPhase(enum.Enum):
    """The state of a run on the backend server.

    The start of an ORDERED run has not been sent yet. STARTING has no definite answer.
    A BARRED run will not be started; it certainly does not exist once a list requested
    after `barred_at` does not contain it.
    """

    ORDERED = "ordered"
    STARTING = "starting"
    RUNNING = "running"
    BARRED = "barred"


class Asked(enum.Enum):
    """What the owner's last order about a run asks for; NOTHING if there is none."""

    NOTHING = "nothing"
    KEEP = "keep"
    STOP = "stop"


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """One run: the order for it, if there is one, and its status on the server.

    A run that is not `wanted` is stopped, whatever the owner has `asked`. No call about
    it is sent before `retry_at` or while one is in flight. `since` is when the order
    came or the run was first listed. `unconfirmed` is set once a start got no answer,
    or if an earlier process of the host may have sent one, and `denied` is the reason
    for which the backend server denied one. `pace` is the intended percentage of full
    speed, and `pace_set` the last one that was sent, or zero if the actual one is not
    known. Until `pace_uncertain_until` a late call may still change it, so the pace is
    sent again. `reported` is the status that the owner was last sent.
    """

    ref: RunRef
    phase: RunPhase
    wanted: bool = True
    asked: Asked = Asked.NOTHING
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
        """The key in the table of runs."""
        return self.ref.key

    @property
    def committed(self) -> Resources:
        """The resources that it takes, if known."""
        return self.order.committed if self.order else NO_RESOURCES


@dataclass(frozen=True, kw_only=True, slots=True)
class Server:
    """The current incarnation of the backend server.

    `clock_ms` is the newest time on its clock that an answer carried, which arrived at
    `clock_read_at` at the latest. All ends with numbers up to `noted` are durable, and
    so are those in `noted_out_of_order`. The server has discarded those with numbers up
    to `discarded`.
    `lease_sent_at` is when a call that renews its lease was last sent, and
    `lease_until_ms` the latest end that was requested, on its clock. It is `listed`
    once it has answered with a list of its runs, and `withdrawn` once it has announced
    its end.
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
    clock_read_at: float = 0.0
    noted: int = 0
    discarded: int = 0
    noted_out_of_order: frozenset[int] = frozenset()
    lease_sent_at: float = 0.0
    lease_until_ms: int = 0
    listed: bool = False
    withdrawn: bool = False

    @property
    def life(self) -> str:
        """The unique name of this incarnation."""
        return f"{self.server_id}/{self.started_at_ms}"


def incarnation_name(
    event: Announced | IncarnationConfirmed | IncarnationUnconfirmed,
) -> str:
    """Return the unique name of an incarnation, as in `Server.life`."""
    return f"{event.server_id}/{event.started_at_ms}"


@dataclass(frozen=True, kw_only=True, slots=True)
class UnconfirmedServer:
    """An announced incarnation of the backend server that is not confirmed yet.

    `announced_at` is when its last announcement arrived, and `failures` counts the
    calls that did not confirm it. The next call is sent at `retry_at`.
    """

    announced: Announced
    announced_at: float
    in_flight: bool = False
    retry_at: float = 0.0
    failures: int = 0

    @property
    def name(self) -> str:
        """The unique name of the incarnation."""
        return incarnation_name(self.announced)


@dataclass(frozen=True, kw_only=True, slots=True)
class FormerServer:
    """An incarnation of the backend server that ended at `ended_at`.

    Its next one may answer at its address before it has announced itself. The next call
    there is sent at `retry_at`, until one was `answered`.
    """

    server_id: str
    address: str
    ended_at: float
    answered: bool = False
    in_flight: bool = False
    retry_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class UnansweredStart:
    """A start that was sent before `sent_before` and may still be carried out."""

    ref: RunRef
    sent_before: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PollState:
    """The state of the call that lists runs.

    The last one let the server discard ends with numbers up to `noted`. `failing_since`
    is set while it gets no answer. `connections_refused` counts the refused connections
    in a row.
    """

    in_flight: bool = False
    sent_at: float = 0.0
    noted: int = 0
    retry_at: float = 0.0
    failing_since: float | None = None
    connections_refused: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Pacing:
    """When paces were last decided, and the owner's verdicts on pairs of images.

    `near_target_since` holds, for each serving image, since when its latency has been
    near or above its target without interruption.
    """

    decided_at: float = 0.0
    harmful: frozenset[tuple[str, str]] = frozenset()
    harmless: frozenset[tuple[str, str]] = frozenset()
    near_target_since: Map[str, float] = field(default_factory=Map)


def by_phase(run: Run) -> tuple[str, ...]:
    """Index runs by phase, and runs to be stopped also as unwanted."""
    if run.wanted:
        return (run.phase.value,)
    return (run.phase.value, "unwanted")


@dataclass(frozen=True, kw_only=True, slots=True)
class JobAgentTables:
    """The complete state of the role.

    `began_at` is the time of this process's first tick. `epoch` is that of the newest
    owner that adopted this agent, and `owner` its peer name while linked. Contacts that
    the owner answered permit full leases and starts until `renewals_end_at`, and no
    lease that ends after a full one requested then.
    `orders_complete` means that the owner's complete list of runs for the current
    incarnation has arrived. `stalled_since` is since when all serving runs have been
    stalled, `search_started_at` when this process began to wait for an announcement.
    `unconfirmed` are the announced incarnations that are not confirmed, by name.
    `former` is the last incarnation while another may follow. `unanswered_starts` are
    those that any incarnation may still carry out, by the keys of their runs. Calls
    carry the `fencing_token`, which rises with each incarnation; `fenced_calls` counts
    those in a row that were refused because it was too low. `ends` are kept by number
    until the server may discard them. `synced` means that the owner has been sent the
    complete list of runs; `last_host_report` and the end with number `last_end_sent`
    are the last ones sent. `end_listed_at` is when each of the `ends` was first listed.
    `orders` is the number of the last item of orders in `adoption` that was handled,
    and `misses_orders` is set once a later one has arrived; `verdicts` is the number of
    the last verdicts on harm in it. `unsettled_since_by_kind` is since when each lack
    that is logged has lasted, by the kind of its line, and `oldest_end` the number of
    the first end when last checked. `confirmed_at` is when the last contact that an
    owner confirmed was sent, or when the row of the host was first stored, if that is
    later. `stored_row` is the last row that the store has confirmed. `adoption` is the
    number of the last adoption, and `closed_adoption` the one whose orders are not
    taken any more.
    """

    host: str
    failure_domain: str
    region: str
    address: str
    bounds: Bounds
    service: str = ""
    began_at: float | None = None
    owner: str = ""
    epoch: int = 0
    renewals_end_at: float = -60.0
    contact_sent_at: float = -60.0
    orders_complete: bool = False
    adoption: int = 0
    closed_adoption: int = 0
    orders: int = 0
    misses_orders: bool = False
    verdicts: int = 0
    server: Server | None = None
    server_state: ServerState = ServerState.UNKNOWN
    stalled_since: float | None = None
    search_started_at: float | None = None
    unconfirmed: Table[UnconfirmedServer] = field(default_factory=Table.empty)
    former: FormerServer | None = None
    unanswered_starts: Map[str, UnansweredStart] = field(default_factory=Map)
    fencing_token: int = 0
    fenced_calls: int = 0
    poll: PollState = PollState()
    runs: Table[Run] = field(
        default_factory=lambda: Table.empty(indexes={"phase": by_phase})
    )
    ends: Map[int, RunEnd] = field(default_factory=Map)
    end_listed_at: Map[int, float] = field(default_factory=Map)
    last_end_sent: int = 0
    pacing: Pacing = field(default_factory=Pacing)
    runs_reported_at: float = 0.0
    measures_sent_at: float = 0.0
    last_host_report: HostReport | None = None
    synced: bool = False
    confirmed_at: float = -60.0
    stored_row: HostRow | None = None
    registering: bool = False
    register_retry_at: float = 0.0
    leaving: bool = False
    unsettled_reported_at: float = 0.0
    unsettled_since_by_kind: Map[str, float] = field(default_factory=Map)
    oldest_end: int = 0


JobAgentStep = Step[JobAgentTables]
