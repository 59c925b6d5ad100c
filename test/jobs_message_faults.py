"""A table of single message faults, and the player of its cases.

A case loses, doubles, delays or lets overtake one message of one kind, at one point of
a run's life; link, contact and store are sound otherwise. What backend servers run is
the truth: no job may stand still while one of its tasks could run, no rule may be
broken, cancelled runs stop, ends are discarded, and in the end the books agree.
`python -m test.jobs_message_faults` plays all cases, `--pairs A-B` drawn pairs of
faults; `PYTHONPATH` names the root.
"""

from __future__ import annotations

import argparse
import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from functools import singledispatch

from bulrushpulley.entities.jobs import rows
from bulrushpulley.entities.jobs.calls import CancelCall
from bulrushpulley.entities.jobs.executor_calls import (
    ConfirmIncarnation,
    ExecutorCommand,
    PaceRun,
    PollRuns,
    StartRun,
    StopRun,
)
from bulrushpulley.entities.jobs.intake_tables import (
    CheckStored,
    ReadOrders,
    StoreCancel,
    StoreJobs,
    WatchOrders,
)
from bulrushpulley.entities.jobs.items import (
    Adopt,
    Contact,
    ContactAck,
    EndsNoted,
    HarmVerdicts,
    HostReport,
    JobItem,
    LifeEnded,
    Measures,
    Orders,
    RunRefused,
    RunsReport,
)
from bulrushpulley.entities.jobs.rows import JobState
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    ClaimShard,
    CommitProgress,
    LoadTable,
    PollOwner,
    ProbeStore,
    RecheckTable,
    SchedulerTables,
    WatchTable,
)
from bulrushpulley.entities.jobs.store import (
    Purpose,
    StoreCommand,
    StoredRow,
)
from bulrushpulley.entities.jobs.task import HOLDING_STATES, TaskState
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.systems.job_agent.registering import RegisterHost
from test.jobs_restarts import MAX_ALONE_S, MAX_WITH_OWNER_S, RestartWatch
from test.jobs_world import QUEUE, CallOutcome, JobsWorld, Process, step

ENTRIES = 2
HOSTS = ("z0-0", "z1-1")
TASK_SIZE = Resources(processors_m=500, memory_mb=500)
WORK_PAYLOAD = "0.6"
LASTING_PAYLOAD = "1000.0"
# When things happen, in seconds since the start of the site.
SUBMIT_AT_S = 2.0
TROUBLE_AT_S = 3.0
SECOND_SUBMIT_AT_S = 3.2
CANCEL_AT_S = 4.0
RETRY_AT_S = 8.0
END_AT_S = 17.0
MAX_REFUSING_S = 2.5
SAME_ID_DOWN_S = 1.6
# The platform calls a job lost of which nothing runs for this long beside free room,
# from 4 s after a trouble (`ContactMs`) on.
MAX_IDLE_S = 3.0
CALM_AFTER_S = 4.0
MAX_CANCELLED_RUN_S = 3.0
MAX_END_KEPT_S = 3.0
AGREEMENT_S = 3.0
SAMPLE_INTERVAL_S = 0.05
# Less than the time limit of each call to a backend server.
OVERTAKEN_BY_S = 0.2
FIRST, SECOND, LASTING, CANCELLED = 1, 2, 3, 4


# Kinds of messages


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """A kind of message."""

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemKind(Kind):
    """Items of a link of one type for which `holds`."""

    item: type[JobItem]
    holds: Callable[..., bool] = lambda item: True


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreKind(Kind):
    """Calls to the store with one purpose, of `table` if that is given."""

    purpose: type[Purpose]
    table: str = ""
    writes: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class RowKind(Kind):
    """Rows of one type in the answers to calls with one purpose."""

    purpose: type[Purpose]
    row: type[rows.Row]


@dataclass(frozen=True, kw_only=True, slots=True)
class CallKind(Kind):
    """Calls of an agent to its backend server."""

    command: type[ExecutorCommand]


def _is_partial(item: RunsReport) -> bool:
    return not item.complete


KINDS: tuple[Kind, ...] = (
    ItemKind(name="adopt", item=Adopt),
    ItemKind(name="orders-complete", item=Orders, holds=lambda item: item.complete),
    ItemKind(
        name="orders-start",
        item=Orders,
        holds=lambda item: bool(item.start) and not item.complete,
    ),
    ItemKind(
        name="orders-stop",
        item=Orders,
        holds=lambda item: bool(item.stop) and not item.complete,
    ),
    ItemKind(name="ends-noted", item=EndsNoted),
    ItemKind(name="contact-ack", item=ContactAck),
    ItemKind(name="contact", item=Contact),
    ItemKind(name="measures", item=Measures),
    ItemKind(name="verdicts", item=HarmVerdicts),
    ItemKind(name="host-report", item=HostReport),
    ItemKind(
        name="host-ready",
        item=HostReport,
        holds=lambda item: item.state.value == "ready",
    ),
    ItemKind(name="runs-complete", item=RunsReport, holds=lambda item: item.complete),
    ItemKind(
        name="runs-begun",
        item=RunsReport,
        holds=lambda item: _is_partial(item) and not item.ends,
    ),
    ItemKind(
        name="runs-ended",
        item=RunsReport,
        holds=lambda item: _is_partial(item) and bool(item.ends),
    ),
    ItemKind(name="run-refused", item=RunRefused),
    ItemKind(name="life-ended", item=LifeEnded),
    StoreKind(name="commit", purpose=CommitProgress, writes=True),
    StoreKind(name="claim", purpose=ClaimShard, writes=True),
    StoreKind(name="register", purpose=RegisterHost, writes=True),
    StoreKind(name="submit", purpose=StoreJobs, writes=True),
    StoreKind(name="cancel", purpose=StoreCancel, writes=True),
    StoreKind(name="poll-owner", purpose=PollOwner),
    StoreKind(name="probe", purpose=ProbeStore),
    StoreKind(name="check-stored", purpose=CheckStored),
    StoreKind(name="read-orders", purpose=ReadOrders),
    StoreKind(name="watch-orders", purpose=WatchOrders),
    StoreKind(name="load-progress", purpose=LoadTable, table=rows.PROGRESS),
    StoreKind(name="load-hosts", purpose=LoadTable, table=rows.HOSTS),
    StoreKind(name="load-harms", purpose=LoadTable, table=rows.HARMS),
    StoreKind(name="load-jobs", purpose=LoadTable, table=rows.JOBS),
    StoreKind(name="watch-jobs", purpose=WatchTable, table=rows.JOBS),
    StoreKind(name="watch-hosts", purpose=WatchTable, table=rows.HOSTS),
    StoreKind(name="recheck-jobs", purpose=RecheckTable, table=rows.JOBS),
    StoreKind(name="recheck-hosts", purpose=RecheckTable, table=rows.HOSTS),
    RowKind(name="row-watch-job", purpose=WatchTable, row=rows.JobRow),
    RowKind(name="row-watch-cancel", purpose=WatchTable, row=rows.CancelRow),
    RowKind(name="row-watch-host", purpose=WatchTable, row=rows.HostRow),
    RowKind(name="row-recheck-job", purpose=RecheckTable, row=rows.JobRow),
    RowKind(name="row-recheck-cancel", purpose=RecheckTable, row=rows.CancelRow),
    RowKind(name="row-load-job", purpose=LoadTable, row=rows.JobRow),
    RowKind(name="row-load-progress", purpose=LoadTable, row=rows.ProgressRow),
    RowKind(name="row-load-host", purpose=LoadTable, row=rows.HostRow),
    CallKind(name="call-confirm", command=ConfirmIncarnation),
    CallKind(name="call-poll", command=PollRuns),
    CallKind(name="call-start", command=StartRun),
    CallKind(name="call-stop", command=StopRun),
    CallKind(name="call-pace", command=PaceRun),
)


# Faults


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """What happens to one message."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Lost(Fault):
    """An item is not delivered; a call is not carried out and has no answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Doubled(Fault):
    """An item is delivered, or a call carried out, a second time after a while."""

    after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class AnsweredAgain(Fault):
    """A transaction is sent twice, and the second answer is read: often a conflict."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Late(Fault):
    """An item is delivered late; a call is carried out late, without an answer."""

    delay_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Overtaken(Fault):
    """An item is delivered after the next one, a call carried out after later ones."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerLost(Fault):
    """A call is carried out and has no answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerLate(Fault):
    """A call is carried out, and its answer is late."""

    delay_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RowDropped(Fault):
    """An answer lacks the row."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RowsSkipped(Fault):
    """An answer lacks all its rows: it resumes at a version that is too late."""


LATE_S = (1.5, 4.0)
LATE = tuple(Late(delay_s=delay_s) for delay_s in LATE_S)
ANSWERS_LATE = tuple(AnswerLate(delay_s=delay_s) for delay_s in LATE_S)
DOUBLED = tuple(Doubled(after_s=after_s) for after_s in (0.0, 0.3, 1.5))


@singledispatch
def faults_of(kind: Kind) -> tuple[Fault, ...]:
    """Return the faults of a kind of message."""
    raise NotImplementedError(type(kind).__name__)


@faults_of.register
def _(kind: ItemKind) -> tuple[Fault, ...]:
    return (Lost(), *DOUBLED, *LATE, Overtaken())


@faults_of.register
def _(kind: StoreKind) -> tuple[Fault, ...]:
    if not kind.writes:
        return (AnswerLost(), *ANSWERS_LATE, Overtaken())
    return (
        Lost(),
        Doubled(after_s=1.5),
        AnsweredAgain(),
        *LATE,
        Overtaken(),
        AnswerLost(),
        *ANSWERS_LATE,
    )


@faults_of.register
def _(kind: RowKind) -> tuple[Fault, ...]:
    return (RowDropped(), RowsSkipped())


@faults_of.register
def _(kind: CallKind) -> tuple[Fault, ...]:
    return (
        Lost(),
        Doubled(after_s=1.5),
        *LATE,
        Overtaken(),
        AnswerLost(),
        AnswerLate(delay_s=OVERTAKEN_BY_S),
        *ANSWERS_LATE,
    )


@singledispatch
def item_delays_s(fault: Fault) -> tuple[float, ...]:
    """Return the delays with which an item is delivered; by default it is not."""
    return ()


@item_delays_s.register
def _(fault: Doubled) -> tuple[float, ...]:
    return (0.0, fault.after_s)


@item_delays_s.register
def _(fault: Late) -> tuple[float, ...]:
    return (fault.delay_s,)


@singledispatch
def outcome_of(fault: Fault) -> CallOutcome:
    """Return what becomes of a call; by default it is lost."""
    return CallOutcome(carried_out_after_s=(), answered_after_s=None)


@outcome_of.register
def _(fault: Doubled) -> CallOutcome:
    return CallOutcome(carried_out_after_s=(0.0, fault.after_s))


@outcome_of.register
def _(fault: AnsweredAgain) -> CallOutcome:
    return CallOutcome(carried_out_after_s=(0.0, 0.0))


@outcome_of.register
def _(fault: Late) -> CallOutcome:
    return CallOutcome(carried_out_after_s=(fault.delay_s,), answered_after_s=None)


@outcome_of.register
def _(fault: Overtaken) -> CallOutcome:
    delay_s = OVERTAKEN_BY_S
    return CallOutcome(carried_out_after_s=(delay_s,), answered_after_s=delay_s)


@outcome_of.register
def _(fault: AnswerLost) -> CallOutcome:
    return CallOutcome(answered_after_s=None)


@outcome_of.register
def _(fault: AnswerLate) -> CallOutcome:
    return CallOutcome(answered_after_s=fault.delay_s)


# Points of a run's life


@dataclass(frozen=True, kw_only=True, slots=True)
class Point:
    """From when on the first message of a kind is disturbed; `calm_at_s` follows.

    Up to then a trouble excuses that something stands still.
    """

    name: str
    calm_at_s: float = 0.0
    max_restart_s: float = MAX_ALONE_S


@dataclass(frozen=True, kw_only=True, slots=True)
class TimedPoint(Point):
    """A point at a time."""

    at_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StatePoint(Point):
    """The moment when backend servers are first in a state of the first job."""

    is_reached: Callable[[JobsWorld], bool]


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerKilled(TimedPoint):
    """The owner of the shard is killed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentRestarted(TimedPoint):
    """An agent is killed, and starts again half a second later."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerReborn(TimedPoint):
    """A backend server crashes, and its next incarnation begins after `down_s`."""

    down_s: float
    same_id: bool


def _job_id(number: int) -> str:
    return f"{number:016x}"


def _running(world: JobsWorld, prefix: str) -> list[str]:
    return [
        run.order.task_id
        for executor in world.executor_by_host.values()
        for run in executor.run_by_key.values()
        if run.order.task_id.startswith(prefix)
    ]


def _done(world: JobsWorld, prefix: str) -> set[str]:
    return {task for task in world.done_task_ids if task.startswith(prefix)}


def _first_step_runs(world: JobsWorld) -> bool:
    return bool(_running(world, f"{_job_id(FIRST)}.0.0."))


def _first_step_ends(world: JobsWorld) -> bool:
    return bool(_done(world, f"{_job_id(FIRST)}.0.0."))


def _first_step_done(world: JobsWorld) -> bool:
    return len(_done(world, f"{_job_id(FIRST)}.0.0.")) == 2


TROUBLE_CALM_AT_S = TROUBLE_AT_S + CALM_AFTER_S
POINTS: tuple[Point, ...] = (
    TimedPoint(name="first-adoption", at_s=0.0),
    TimedPoint(name="first-start", at_s=SUBMIT_AT_S),
    StatePoint(name="first-end", is_reached=_first_step_runs),
    StatePoint(name="acknowledgement", is_reached=_first_step_ends),
    StatePoint(name="second-step", is_reached=_first_step_done),
    TimedPoint(name="stop", at_s=CANCEL_AT_S),
    OwnerKilled(
        name="takeover",
        at_s=TROUBLE_AT_S,
        calm_at_s=TROUBLE_CALM_AT_S,
        max_restart_s=MAX_WITH_OWNER_S,
    ),
    AgentRestarted(
        name="agent-restart", at_s=TROUBLE_AT_S, calm_at_s=TROUBLE_CALM_AT_S
    ),
    ServerReborn(
        name="reborn-server",
        at_s=TROUBLE_AT_S,
        calm_at_s=TROUBLE_CALM_AT_S,
        down_s=0.0,
        same_id=False,
    ),
    ServerReborn(
        name="reborn-same-id",
        at_s=TROUBLE_AT_S,
        calm_at_s=TROUBLE_CALM_AT_S + SAME_ID_DOWN_S,
        down_s=SAME_ID_DOWN_S,
        same_id=True,
    ),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """One fault of the first message of a kind from a point on."""

    kind: Kind
    fault: Fault
    point: Point

    @property
    def name(self) -> str:
        """The name by which the case can be chosen."""
        fault = type(self.fault).__name__.lower()
        delay_s = getattr(self.fault, "delay_s", getattr(self.fault, "after_s", None))
        delay = "" if delay_s is None else f"-{delay_s:g}"
        return f"{self.kind.name}:{fault}{delay}:{self.point.name}"


def all_cases() -> Iterator[Case]:
    """Return the cases of the table."""
    for kind in KINDS:
        for fault in faults_of(kind):
            for point in POINTS:
                yield Case(kind=kind, fault=fault, point=point)


# Messages are disturbed


@dataclass(kw_only=True, slots=True)
class Injection:
    """The state of a fault: the message that it has hit, and an item held back."""

    kind: Kind
    fault: Fault
    armed: bool = False
    hit: object | None = None
    held: tuple[Event, Process, Process] | None = None

    @property
    def is_due(self) -> bool:
        """Whether the next message of the kind is to be disturbed."""
        return self.armed and self.hit is None


@singledispatch
def matches_item(kind: Kind, item: Event) -> bool:
    """Return whether an item is of a kind; by default it is not."""
    return False


@matches_item.register
def _(kind: ItemKind, item: Event) -> bool:
    return isinstance(item, kind.item) and kind.holds(item)


@singledispatch
def matches_call(kind: Kind, command: Command) -> bool:
    """Return whether a call is of a kind; by default it is not."""
    return False


@matches_call.register
def _(kind: StoreKind, command: Command) -> bool:
    if not isinstance(command, StoreCommand):
        return False
    if not isinstance(command.purpose, kind.purpose):
        return False
    return not kind.table or getattr(command, "table", "") == kind.table


@matches_call.register
def _(kind: CallKind, command: Command) -> bool:
    return isinstance(command, kind.command)


@singledispatch
def matches_row(kind: Kind, command: StoreCommand, stored: StoredRow) -> bool:
    """Return whether a row in an answer is of a kind; by default it is not."""
    return False


@matches_row.register
def _(kind: RowKind, command: StoreCommand, stored: StoredRow) -> bool:
    return isinstance(command.purpose, kind.purpose) and isinstance(
        stored.row, kind.row
    )


class Disturber:
    """Disturbs the messages of a world as its injections say."""

    def __init__(self, world: JobsWorld, injections: Iterable[Injection]) -> None:
        self._world = world
        self._injections = tuple(injections)
        world.delays_of = self._delays_of
        world.outcome_of = self._outcome_of
        world.hides = self._hides

    def _delays_of(
        self, item: Event, sender: Process, receiver: Process
    ) -> Iterable[float]:
        for injection in self._injections:
            if injection.held is not None:
                self._release(injection, sender, receiver)
            if injection.is_due and matches_item(injection.kind, item):
                injection.hit = item
                if isinstance(injection.fault, Overtaken):
                    injection.held = (item, sender, receiver)
                return item_delays_s(injection.fault)
        return (0.0,)

    def _release(
        self, injection: Injection, sender: Process, receiver: Process
    ) -> None:
        """Deliver an item that was held back after the one that is sent now."""
        if injection.held is None or injection.held[1:] != (sender, receiver):
            return
        item, _, _ = injection.held
        injection.held = None
        self._world.deliver_later(sender, receiver, item, SAMPLE_INTERVAL_S)

    def _outcome_of(self, command: Command, process: Process) -> CallOutcome | None:
        for injection in self._injections:
            if injection.is_due and matches_call(injection.kind, command):
                injection.hit = command
                return outcome_of(injection.fault)
        return None

    def _hides(self, command: StoreCommand, stored: StoredRow) -> bool:
        hidden = False
        for injection in self._injections:
            if injection.is_due and matches_row(injection.kind, command, stored):
                injection.hit = command
                hidden = True
            elif injection.hit is command:
                hidden = hidden or isinstance(injection.fault, RowsSkipped)
        return hidden


# The site is watched


@dataclass(kw_only=True, slots=True)
class TruthWatch:
    """What backend servers run, compared with what the rules ask for.

    Troubles excuse what stands still until `calm_at`.
    """

    world: JobsWorld
    calm_at: float
    idle_since_by_job: dict[str, float] = field(default_factory=dict)
    end_seen_at: dict[tuple[str, int, int], float] = field(default_factory=dict)
    cancelled_at: float | None = None
    worst_idle_s: float = 0.0
    problems: dict[str, float] = field(default_factory=dict)

    def sample(self) -> None:
        """Look at the site once."""
        for number in self.world.spec_by_job:
            self._sample_job(number)
        self._sample_cancellation()
        self._sample_ends()

    def _note(self, problem: str, age_s: float) -> None:
        self.problems[problem] = max(age_s, self.problems.get(problem, 0.0))

    def _sample_job(self, job_id: str) -> None:
        world = self.world
        stored = world.store.row_by_key
        is_idle = (
            rows.job_key(job_id) in stored
            and rows.cancel_key(job_id) not in stored
            and self._could_run(job_id)
            and not _running(world, job_id)
        )
        if not is_idle:
            self.idle_since_by_job.pop(job_id, None)
            return
        since = self.idle_since_by_job.setdefault(job_id, world.now)
        idle_s = world.now - max(since, self.calm_at)
        self.worst_idle_s = max(self.worst_idle_s, idle_s)
        if idle_s > MAX_IDLE_S:
            self._note(f"nothing of job {int(job_id, 16)} runs", idle_s)

    def _could_run(self, job_id: str) -> bool:
        world = self.world
        steps = world.spec_by_job[job_id].steps
        is_done = [
            len(_done(world, f"{job_id}.0.{number}.")) == planned.count
            and not planned.lasting
            for number, planned in enumerate(steps)
        ]
        return any(
            not is_done[number] and all(is_done[before] for before in planned.after)
            for number, planned in enumerate(steps)
        )

    def _sample_cancellation(self) -> None:
        world, job_id = self.world, _job_id(CANCELLED)
        if rows.cancel_key(job_id) not in world.store.row_by_key:
            return
        if self.cancelled_at is None:
            self.cancelled_at = world.now
        age_s = world.now - max(self.cancelled_at, self.calm_at)
        if age_s > MAX_CANCELLED_RUN_S and _running(world, job_id):
            self._note("a cancelled run goes on", age_s)

    def _sample_ends(self) -> None:
        for host, executor in self.world.executor_by_host.items():
            for end in executor.ends:
                key = (host, executor.incarnation, end.number)
                seen_at = self.end_seen_at.setdefault(key, self.world.now)
                age_s = self.world.now - max(seen_at, self.calm_at)
                if age_s > MAX_END_KEPT_S:
                    self._note(f"end {end.number} of {host} is kept", age_s)


@dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """What was found in a play; `was_hit` says whether all faults had a message."""

    world: JobsWorld
    was_hit: bool
    worst_idle_s: float
    problems: tuple[str, ...]


def _submit(world: JobsWorld, number: int) -> None:
    """Submit a job at the second entry, or again if it is not stored."""
    if rows.job_key(_job_id(number)) in world.store.row_by_key:
        return
    filling = {"size": TASK_SIZE, "image": "filling"}
    serving = {"size": TASK_SIZE, "image": "serving", "latency_target_ms": 50.0}
    if number in (LASTING, CANCELLED):
        world.submit(
            number,
            step(2, lasting=True, **serving),
            payload=LASTING_PAYLOAD,
            entry="entry-1",
        )
        return
    world.submit(
        number,
        step(2, **filling),
        step(2, after=(0,), **filling),
        payload=WORK_PAYLOAD,
        entry="entry-1",
    )


def _cancel(world: JobsWorld) -> None:
    if rows.cancel_key(_job_id(CANCELLED)) in world.store.row_by_key:
        return
    call = CancelCall(
        call_id=f"cancel-{world.now}",
        authority=QUEUE.authority,
        path=f"{QUEUE.path_prefix}{_job_id(CANCELLED)}",
        within_s=3.0,
        received_at_s=world.now,
    )
    world.tell(world.process_by_name["entry-1"], "intake", call)


@singledispatch
def begin_trouble(point: Point, world: JobsWorld) -> None:
    """Begin the trouble of a point; most have none."""


@begin_trouble.register
def _(point: OwnerKilled, world: JobsWorld) -> None:
    world.kill("entry-0")


@begin_trouble.register
def _(point: AgentRestarted, world: JobsWorld) -> None:
    world.restart(HOSTS[0])


@begin_trouble.register
def _(point: ServerReborn, world: JobsWorld) -> None:
    executor = world.executor_by_host[HOSTS[0]]
    executor.crash()
    world.at(point.down_s, lambda: executor.restart(world.now, same_id=point.same_id))


def _end_refusals(world: JobsWorld, injection: Injection, until: float) -> None:
    """Have starts refused until the fault has had a refusal."""
    if injection.hit is not None or world.now >= until:
        world.refusing_hosts.clear()
        return
    delay_s = SAMPLE_INTERVAL_S
    world.at(delay_s, lambda: _end_refusals(world, injection, until))


def _arm(world: JobsWorld, injection: Injection) -> None:
    injection.armed = True
    if isinstance(injection.kind, ItemKind) and injection.kind.item is RunRefused:
        world.refusing_hosts.update(HOSTS)
        _end_refusals(world, injection, world.now + MAX_REFUSING_S)


@singledispatch
def schedule(point: Point, world: JobsWorld, injection: Injection) -> None:
    """Have a fault begin at its point."""
    raise NotImplementedError(type(point).__name__)


@schedule.register
def _(point: TimedPoint, world: JobsWorld, injection: Injection) -> None:
    world.at(point.at_s, lambda: _arm(world, injection))


@schedule.register
def _(point: StatePoint, world: JobsWorld, injection: Injection) -> None:
    def check() -> None:
        if point.is_reached(world):
            _arm(world, injection)
        else:
            world.at(SAMPLE_INTERVAL_S, check)

    check()


def play(*cases: Case) -> Result:
    """Play cases together, which share the trouble of the last one."""
    world = JobsWorld(entries=ENTRIES, hosts=len(HOSTS))
    began_at = world.now
    point = cases[-1].point
    injections = [Injection(kind=case.kind, fault=case.fault) for case in cases]
    Disturber(world, injections)
    for case, injection in zip(cases, injections, strict=True):
        schedule(case.point, world, injection)
    world.at(TROUBLE_AT_S, lambda: begin_trouble(point, world))
    for number in (FIRST, LASTING, CANCELLED):
        world.at(SUBMIT_AT_S, lambda number=number: _submit(world, number))  # type: ignore[misc]
    world.at(SECOND_SUBMIT_AT_S, lambda: _submit(world, SECOND))
    world.at(CANCEL_AT_S, lambda: _cancel(world))
    for number in (FIRST, SECOND, LASTING):
        # As callers do that have no answer.
        world.at(RETRY_AT_S, lambda number=number: _submit(world, number))  # type: ignore[misc]
    world.at(RETRY_AT_S, lambda: _cancel(world))
    truth = TruthWatch(world=world, calm_at=began_at + point.calm_at_s)
    restarts = RestartWatch(world)
    lines_before_agreement = 0
    while world.now < began_at + END_AT_S:
        world.run(SAMPLE_INTERVAL_S)
        truth.sample()
        if world.now < began_at + END_AT_S - AGREEMENT_S:
            lines_before_agreement = len(world.decisions)
    problems = [f"{what} for {age_s:.1f} s" for what, age_s in truth.problems.items()]
    for task_id, gap_s in sorted(restarts.longest_gap_by_task.items()):
        cancelled = task_id.startswith(_job_id(CANCELLED))
        if gap_s > point.max_restart_s and not cancelled:
            problems.append(f"{task_id} did not run for {gap_s:.1f} s")
    problems += _final_problems(world, lines_before_agreement)
    return Result(
        world=world,
        was_hit=all(injection.hit is not None for injection in injections),
        worst_idle_s=truth.worst_idle_s,
        problems=(*world.violations, *problems),
    )


def _final_problems(world: JobsWorld, lines_before_agreement: int) -> Iterator[str]:
    """Return what is wrong at the end, when all faults are long over."""
    for number in (FIRST, SECOND):
        state = world.state_of(_job_id(number))
        if state is not JobState.COMPLETED:
            yield f"job {number} is {state} at the end"
    if len(_running(world, _job_id(LASTING))) != 2:
        yield "a lasting task does not run at the end"
    if _running(world, _job_id(CANCELLED)):
        yield "a cancelled run goes on at the end"
    for line in world.decisions[lines_before_agreement:]:
        if line.kind == "books.differ":
            yield f"books differ at the end: {line.subject} {line.chosen}"
    yield from _differences(world)


def _differences(world: JobsWorld) -> Iterator[str]:
    """Return how the owner's books differ from what backend servers run."""
    owner = world.owner()
    if not owner:
        yield "no entry owns the shard at the end"
        return
    tables: SchedulerTables = (
        world.process_by_name[owner].instance_by_role[SCHEDULER].tables
    )
    for host, executor in world.executor_by_host.items():
        held = {
            task.run_key
            for task in tables.tasks.rows_where("host", host)
            if task.state in HOLDING_STATES and task.state is not TaskState.PLACED
        }
        if held != set(executor.run_by_key):
            yield f"the owner's runs of {host} are not those of its backend server"


# All cases, and drawn pairs, by hand


def draw_pair(seed: int) -> tuple[Case, Case]:
    """Return two cases of a seed that share a trouble."""
    draw = random.Random(f"pair {seed}")

    def draw_case(points: tuple[Point, ...]) -> Case:
        kind = draw.choice(KINDS)
        fault = draw.choice(faults_of(kind))
        return Case(kind=kind, fault=fault, point=draw.choice(points))

    quiet = tuple(point for point in POINTS if not point.calm_at_s)
    return draw_case(quiet), draw_case(POINTS)


def _print_result(name: str, result: Result) -> None:
    if result.problems:
        print(f"FAILED {name}: {'; '.join(result.problems[:4])}", flush=True)


def main() -> int:
    """Play the chosen cases or pairs, and print those that fail."""
    parser = argparse.ArgumentParser(description="Play single message faults.")
    parser.add_argument("--only", default="", help="part of the names of cases")
    parser.add_argument("--pairs", default="", metavar="A-B")
    parser.add_argument("--part", default="0/1", metavar="I/N")
    options = parser.parse_args()
    part, _, parts = options.part.partition("/")
    plays: list[tuple[str, tuple[Case, ...]]] = [
        (case.name, (case,)) for case in all_cases() if options.only in case.name
    ]
    if options.pairs:
        first, _, last = options.pairs.partition("-")
        plays = []
        for seed in range(int(first), int(last or first) + 1):
            pair = draw_pair(seed)
            plays.append((f"{seed}: {pair[0].name} {pair[1].name}", pair))
    counts: Counter[str] = Counter()
    for name, cases in plays[int(part) :: int(parts)]:
        result = play(*cases)
        counts["played" if result.was_hit else "without such a message"] += 1
        counts["failed"] += bool(result.problems)
        _print_result(name, result)
    print(", ".join(f"{count} {what}" for what, count in sorted(counts.items())))
    return 1 if counts["failed"] else 0


if __name__ == "__main__":
    raise SystemExit(main())
