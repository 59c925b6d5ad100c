"""Losses of the owner of the shard in a row, at each point of a tenure.

The users count a job as LOST that has nothing running for 3 s although the turn of a
task has come and there is room for it. While the shard has no owner, nothing of a job
that ends a step can run, so the losses of several owners in a row add up. Here the
owner is lost, and its successors as soon as they have reached a point of their tenure.
Entries that reach the store and hosts with room always remain. Spans with nothing
running are measured by the starts and ends on the backend servers.

    python -m test.jobs_owner_losses --seeds 0-99
    python -m test.jobs_owner_losses --table once|twice|thrice [--only TEXT]
"""

from __future__ import annotations

import argparse
import enum
import itertools
import random
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from functools import singledispatch

from bulrushpulley.entities.jobs.calls import JobAccepted
from bulrushpulley.entities.jobs.items import Orders
from bulrushpulley.entities.jobs.rows import OwnerRow, ProgressRow
from bulrushpulley.entities.jobs.runs import RunEnd, RunOrder
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    Claiming,
    ClaimShard,
    CommitProgress,
    Leadership,
    Owning,
    SchedulerTables,
)
from bulrushpulley.entities.jobs.store import Purpose, Transact
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command
from standins.executor_core import FakeExecutor
from test.jobs_world import LINK_TIMEOUT_S, JobsWorld, step

# The rule of the users, while an entry that reaches the store is alive.
MAX_IDLE_S = 3.0
ENTRY_COUNT = 5
HOST_COUNT = 6
HOSTS = tuple(f"z{number % 3}-{number}" for number in range(HOST_COUNT))
STARTUP_S = 3.0
# All jobs run by then, also those whose steps take this long.
FIRST_LOSS_S = 1.0
# A lost owner stays away for longer than the next takeover takes.
AWAY_S = 8.0
OBSERVED_S = 30.0
# A job of more steps than two takes no longer, so that it ends while it is observed.
MAX_WORK_S = 9.0
LOOK_INTERVAL_S = 0.001
HOST_LOST = "host lost"


class Point(enum.Enum):
    """A point that a new tenure reaches."""

    CLAIM_SENT = "claim sent"
    CLAIM_ANSWERED = "claim answered"
    FIRST_TABLE_READ = "first table read"
    SECOND_TABLE_READ = "second table read"
    SHARD_LOADED = "shard loaded"
    COMMIT_SENT = "commit sent"
    COMMIT_ANSWERED = "commit answered"
    AGENT_SYNCED = "agent synced"
    TASK_PLACED = "task placed"
    PROGRESS_SENT = "progress sent"
    ORDER_SENT = "order sent"


POINT_BY_LINE = {
    "shard.own": Point.CLAIM_ANSWERED,
    "shard.ready": Point.SHARD_LOADED,
    "task.place": Point.TASK_PLACED,
}
# How many tables of a shard have been read at these points.
TABLES_READ_BY_POINT = {Point.FIRST_TABLE_READ: 1, Point.SECOND_TABLE_READ: 2}
TABLE_COUNT = 4


@dataclass(frozen=True, kw_only=True, slots=True)
class Loss:
    """Base class for the ways to lose an owner, which is away for a while."""

    away_s: float = AWAY_S


@dataclass(frozen=True, kw_only=True, slots=True)
class Killed(Loss):
    """The owner is killed, and started again at the end."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Frozen(Loss):
    """The owner is suspended."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CutOff(Loss):
    """The owner reaches no other process and not the store."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CutOffFromStore(Loss):
    """The owner does not reach the store."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ZoneLost(Loss):
    """The owner is killed, and a backend server and its agent are lost for good."""

    host: str = HOSTS[0]


KINDS: tuple[type[Loss], ...] = (Killed, Frozen, CutOff, CutOffFromStore, ZoneLost)


@dataclass(frozen=True, kw_only=True, slots=True)
class NextLoss:
    """The next owner is lost a while after its tenure has reached a point."""

    loss: Loss
    point: Point
    delay_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class JobPlan:
    """A job, submitted `submitted_at_s` after the start, whose steps take `step_s`."""

    step_s: float
    steps: int = 2
    tasks: int = 1
    submitted_at_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """Jobs, the loss of the owner, and the losses of the next ones."""

    first: Loss
    next_losses: tuple[NextLoss, ...] = ()
    jobs: tuple[JobPlan, ...] = ()
    first_loss_s: float = FIRST_LOSS_S
    far_entries: frozenset[str] = frozenset()

    def describe(self) -> str:
        """Return the losses as text."""
        parts = [type(self.first).__name__]
        for following in self.next_losses:
            kind = type(following.loss).__name__
            parts.append(f"{kind} at {following.point.value}")
        text = ", ".join(parts)
        return f"{text}, {len(self.far_entries)} far" if self.far_entries else text


# Steps end just before the first loss, between the losses and after them.
JOBS = (
    *(
        JobPlan(step_s=FIRST_LOSS_S + offset_s)
        for offset_s in (-0.1, 0.05, 0.5, 1.2, 2.0, 2.8, 3.6, 5.0)
    ),
    JobPlan(step_s=1.0, submitted_at_s=FIRST_LOSS_S + 0.3),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class IdleSpan:
    """A time in which nothing of an unfinished job ran, after `task_id` had ended."""

    job_id: str
    began_at: float
    task_id: str
    how: str
    ended_at: float = 0.0

    @property
    def length_s(self) -> float:
        """How long it lasted."""
        return self.ended_at - self.began_at

    def describe(self) -> str:
        """Return the span as text."""
        return (
            f"{self.length_s:.2f} s, {self.began_at:.2f} to {self.ended_at:.2f}, "
            f"after {self.task_id or 'its acceptance'} {self.how}"
        )


class Phase(enum.Enum):
    """What a job that stands still waits for."""

    OWNER = "without an owner"
    LOADING = "loading"
    STARTING = "until the start"


PHASE_BY_LINE = {"shard.own": Phase.LOADING, "shard.ready": Phase.STARTING}


class RunRecord:
    """The starts and ends of runs by the backend servers, and the spans in between."""

    def __init__(self, world: JobsWorld) -> None:
        self._world = world
        self.spans: list[IdleSpan] = []
        self._open_by_job: dict[str, IdleSpan] = {}
        self.lines: list[tuple[float, str]] = []
        self.phases: list[tuple[float, Phase]] = []
        self._listener = next(iter(world.executor_by_host.values())).listener
        for executor in world.executor_by_host.values():
            executor.listener = self._handle

    def note(self, line: str) -> None:
        """Keep a line of the trace."""
        self.lines.append((self._world.now, line))

    def begin_phase(self, phase: Phase) -> None:
        """Note what jobs that stand still wait for from now on."""
        self.phases.append((self._world.now, phase))

    def _handle(
        self, kind: str, executor: FakeExecutor, run: RunOrder | RunEnd
    ) -> None:
        self._listener(kind, executor, run)
        job_id = run.task_id.partition(".")[0]
        if kind == "start":
            self.note(f"start {_short(run.task_id)} on {executor.host}")
            self._close(job_id)
        elif kind == "end" and isinstance(run, RunEnd):
            self.note(f"end {_short(run.task_id)} on {executor.host}, {run.how}")
            self._open(job_id, run.task_id, run.how)

    def handle_accepted(self, job_id: str) -> None:
        """Begin a span, as the turn of the first step has come."""
        self._open(job_id, "", "accepted")

    def lose(self, host: str) -> None:
        """Crash a backend server, and begin the spans of jobs that ran there only."""
        executor = self._world.executor_by_host[host]
        lost = sorted(run.order.task_id for run in executor.run_by_key.values())
        executor.crash()
        for task_id in lost:
            self._open(task_id.partition(".")[0], task_id, HOST_LOST)

    def _open(self, job_id: str, task_id: str, how: str) -> None:
        if job_id in self._open_by_job or self.is_finished(job_id):
            return
        if job_id in self._running_jobs():
            return
        self._open_by_job[job_id] = IdleSpan(
            job_id=job_id, began_at=self._world.now, task_id=task_id, how=how
        )

    def _running_jobs(self) -> set[str]:
        return {
            key.partition(".")[0]
            for executor in self._world.executor_by_host.values()
            for key in executor.run_by_key
        }

    def _close(self, job_id: str) -> None:
        span = self._open_by_job.pop(job_id, None)
        if span is not None:
            self.spans.append(replace(span, ended_at=self._world.now))

    def close_all(self) -> None:
        """End all spans, at the end of a play."""
        for job_id in list(self._open_by_job):
            self._close(job_id)

    def is_finished(self, job_id: str) -> bool:
        """Return whether all tasks of a job are done."""
        return all(
            f"{job_id}.0.{number}.{index}" in self._world.done_task_ids
            for number, spec in enumerate(self._world.spec_by_job[job_id].steps)
            for index in range(spec.count)
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class PlayResult:
    """What a play of a plan has shown.

    `worst` is the longest span that did not begin with the loss of a host, and
    `worst_lost` the longest that did. `first_start_s` is the time from the first loss
    to the first start of a step whose turn came after it. Not all `next_losses` may
    have come about.
    """

    worst: IdleSpan | None
    worst_lost: IdleSpan | None
    first_start_s: float | None
    losses: int
    problems: tuple[str, ...]
    lines: tuple[tuple[float, str], ...] = field(repr=False)
    phases: tuple[tuple[float, Phase], ...] = field(repr=False)

    @property
    def worst_s(self) -> float:
        """The length of the longest span; 0 without one."""
        return self.worst.length_s if self.worst else 0.0

    def spent_s_by_phase(self) -> dict[Phase, float]:
        """Return what the time of the longest span was spent on."""
        spent: dict[Phase, float] = defaultdict(float)
        if self.worst is None:
            return spent
        ends = [at for at, _ in self.phases[1:]] + [self.worst.ended_at]
        for (at, phase), end in zip(self.phases, ends, strict=True):
            begins_at = max(at, self.worst.began_at)
            spent[phase] += max(0.0, min(end, self.worst.ended_at) - begins_at)
        return spent

    def trace(self) -> Iterator[str]:
        """Return the lines around the longest span."""
        if self.worst is None:
            return
        for at, line in self.lines:
            if self.worst.began_at - 1.0 <= at <= self.worst.ended_at + 0.05:
                yield f"    {at:.3f} {line}"


class OwnerLossPlay:
    """One play of a plan."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._world = JobsWorld(entries=ENTRY_COUNT, hosts=HOST_COUNT)
        self._world.far_from_store.update(plan.far_entries)
        self._world.hook = self._handle_command
        self._record = RunRecord(self._world)
        self._left = list(plan.next_losses)
        self._last_epoch = 0
        self._lost_at: list[float] = []
        # Set from each loss until the next owner has reached the point of its own.
        self._is_armed = False

    def run(self) -> PlayResult:
        """Play the plan until all jobs are done, or for `OBSERVED_S`."""
        world, plan = self._world, self._plan
        world.run(STARTUP_S)
        for number, planned in enumerate(plan.jobs, start=1):
            world.at(
                planned.submitted_at_s,
                lambda number=number, planned=planned: self._submit(number, planned),  # type: ignore[misc]
            )
        world.at(plan.first_loss_s, self._strike_owner)
        world.run(plan.first_loss_s)
        world.run_until(self._is_over, OBSERVED_S)
        self._record.close_all()
        return self._result()

    def _is_over(self) -> bool:
        world = self._world
        submitted = len(world.spec_by_job) == len(self._plan.jobs)
        return submitted and all(map(self._record.is_finished, world.spec_by_job))

    def _result(self) -> PlayResult:
        record = self._record
        kept = [span for span in record.spans if span.how != HOST_LOST]
        lost = [span for span in record.spans if span.how == HOST_LOST]
        lost_at = self._lost_at[0]
        starts = [span.ended_at for span in kept if span.began_at > lost_at]
        unfinished = [
            f"{job_id} is not finished"
            for job_id in self._world.spec_by_job
            if not record.is_finished(job_id)
        ]
        return PlayResult(
            worst=max(kept, key=_length_s, default=None),
            worst_lost=max(lost, key=_length_s, default=None),
            first_start_s=min(starts) - lost_at if starts else None,
            losses=len(self._lost_at),
            problems=(*self._world.violations, *unfinished),
            lines=tuple(record.lines),
            phases=tuple(record.phases),
        )

    def _submit(self, number: int, planned: JobPlan) -> None:
        world = self._world
        steps = (
            step(planned.tasks, after=(at - 1,) if at else ())
            for at in range(planned.steps)
        )
        entry = next(
            name
            for name, process in world.process_by_name.items()
            if SCHEDULER in process.instance_by_role
            and process.alive
            and not process.frozen
            and name not in world.cut_off_from_store
        )
        world.submit(number, *steps, payload=str(planned.step_s), entry=entry)

    # The losses

    def _handle_command(self, command: Command) -> None:
        self._note(command)
        for sighting in sightings_of(command):
            if not self._left or not self._is_armed:
                return
            is_new = sighting.epoch > self._last_epoch
            if is_new and sighting.point is self._left[0].point:
                self._strike_later(sighting.holder or self._holder(sighting.epoch))

    def _note(self, command: Command) -> None:
        if isinstance(command, JobAccepted):
            number = int(command.call_id.rpartition("-")[2])
            self._record.handle_accepted(f"{number:016x}")
        if isinstance(command, Decision) and command.kind.startswith("shard"):
            entry = command.chosen.rpartition("-")[0]
            self._record.note(f"{command.kind} {entry}: {command.reason}")
            if command.kind in PHASE_BY_LINE and command.epoch > self._last_epoch:
                self._record.begin_phase(PHASE_BY_LINE[command.kind])
        if isinstance(command, Decision) and command.kind == "task.place":
            self._record.note(f"task.place {_short(command.subject)} {command.chosen}")

    def _look(self) -> None:
        """Lose the next owner once its tables show that it has reached the point."""
        if not self._left or not self._is_armed:
            return
        for name, process in self._world.process_by_name.items():
            instance = process.instance_by_role.get(SCHEDULER)
            if instance is None or not process.alive:
                continue
            tables: SchedulerTables = instance.tables
            is_new = tables.epoch > self._last_epoch
            if is_new and has_reached(self._left[0].point, tables):
                self._strike_later(name)
                return
        self._world.at(LOOK_INTERVAL_S, self._look)

    def _holder(self, epoch: int) -> str:
        """Return the entry that claims or owns the shard with an epoch, or ''."""
        for name, process in self._world.process_by_name.items():
            instance = process.instance_by_role.get(SCHEDULER)
            if instance is None or not process.alive or process.frozen:
                continue
            if epoch_of(instance.tables.leadership) == epoch:
                return name
        return ""

    def _strike_later(self, owner: str) -> None:
        """Lose the owner after the commands of its tick have been carried out."""
        following = self._left.pop(0)
        self._is_armed = False
        self._record.note(f"{owner}: {following.point.value}")
        self._world.at(following.delay_s, lambda: self._strike(following.loss, owner))

    def _strike_owner(self) -> None:
        self._strike(self._plan.first, self._world.owner())

    def _strike(self, loss: Loss, owner: str) -> None:
        world = self._world
        instance = world.process_by_name[owner].instance_by_role[SCHEDULER]
        epoch = epoch_of(instance.tables.leadership)
        self._last_epoch = max(self._last_epoch, epoch)
        self._lost_at.append(world.now)
        self._record.note(f"LOSS {type(loss).__name__} {owner}, epoch {epoch}")
        self._record.begin_phase(Phase.OWNER)
        lose(loss, owner, world, self._record)
        self._is_armed = True
        self._look()


def _length_s(span: IdleSpan) -> float:
    return span.length_s


def _short(task_id: str) -> str:
    """Return the id of a task without the zeros that its job's begins with."""
    return task_id.lstrip("0")


# What a new owner does


@dataclass(frozen=True, kw_only=True, slots=True)
class Sighting:
    """A command of the owner of `epoch` that shows a point of its tenure."""

    point: Point
    epoch: int
    holder: str = ""


@singledispatch
def sightings_of(command: Command) -> tuple[Sighting, ...]:
    """Return the points that a command shows; none by default."""
    return ()


@sightings_of.register
def _(command: Decision) -> tuple[Sighting, ...]:
    point = POINT_BY_LINE.get(command.kind)
    return (Sighting(point=point, epoch=command.epoch),) if point else ()


@sightings_of.register
def _(command: Send) -> tuple[Sighting, ...]:
    item = command.item
    if isinstance(item, Orders) and item.start:
        return (Sighting(point=Point.ORDER_SENT, epoch=item.epoch),)
    return ()


@sightings_of.register
def _(command: Transact) -> tuple[Sighting, ...]:
    return _sightings_of_write(command.purpose, command)


@singledispatch
def _sightings_of_write(purpose: Purpose, command: Transact) -> tuple[Sighting, ...]:
    return ()


@_sightings_of_write.register
def _(purpose: CommitProgress, command: Transact) -> tuple[Sighting, ...]:
    sent = Sighting(point=Point.COMMIT_SENT, epoch=purpose.epoch)
    if any(isinstance(row, ProgressRow) for row in command.puts):
        return sent, replace(sent, point=Point.PROGRESS_SENT)
    return (sent,)


@_sightings_of_write.register
def _(purpose: ClaimShard, command: Transact) -> tuple[Sighting, ...]:
    row = next(row for row in command.puts if isinstance(row, OwnerRow))
    return (Sighting(point=Point.CLAIM_SENT, epoch=purpose.epoch, holder=row.holder),)


def has_reached(point: Point, tables: SchedulerTables) -> bool:
    """Return whether the tables of an owner show a point that no command does."""
    owning = tables.leadership
    if not isinstance(owning, Owning):
        return False
    if point in TABLES_READ_BY_POINT:
        return len(owning.loading) <= TABLE_COUNT - TABLES_READ_BY_POINT[point]
    if point is Point.AGENT_SYNCED:
        return any(host.synced for host in tables.hosts.rows())
    if point is Point.COMMIT_ANSWERED:
        return owning.renewed_at >= owning.since
    return False


@singledispatch
def epoch_of(leadership: Leadership) -> int:
    """Return the epoch of a tenure or of a claim; 0 by default."""
    return 0


@epoch_of.register(Claiming)
@epoch_of.register(Owning)
def _(leadership: Claiming | Owning) -> int:
    return leadership.epoch


# How an owner is lost


@singledispatch
def lose(loss: Loss, owner: str, world: JobsWorld, record: RunRecord) -> None:
    """Lose an owner for as long as the loss says."""
    raise NotImplementedError(type(loss).__name__)


def _kill(loss: Loss, owner: str, world: JobsWorld) -> None:
    world.kill(owner)
    world.at(loss.away_s, lambda: world.start_entry(owner))


@lose.register
def _(loss: Killed, owner: str, world: JobsWorld, record: RunRecord) -> None:
    _kill(loss, owner, world)


@lose.register
def _(loss: Frozen, owner: str, world: JobsWorld, record: RunRecord) -> None:
    process = world.process_by_name[owner]
    world.freeze(owner, loss.away_s)
    world.at(
        LINK_TIMEOUT_S, lambda: world.end_links(owner, only_if=lambda: process.frozen)
    )


@lose.register
def _(loss: CutOff, owner: str, world: JobsWorld, record: RunRecord) -> None:
    world.cut_off(owner, loss.away_s)
    # Items were lost, so a link that has not ended by then ends.
    world.at(loss.away_s, lambda: world.end_links(owner))


@lose.register
def _(loss: CutOffFromStore, owner: str, world: JobsWorld, record: RunRecord) -> None:
    world.cut_off_from_store.add(owner)
    world.at(loss.away_s, lambda: world.cut_off_from_store.discard(owner))


@lose.register
def _(loss: ZoneLost, owner: str, world: JobsWorld, record: RunRecord) -> None:
    _kill(loss, owner, world)
    world.kill(loss.host)
    record.lose(loss.host)


# The plans


def _of_kind(kind: type[Loss], number: int) -> Loss:
    """Return a loss of a kind; each loss of a zone takes another host."""
    return ZoneLost(host=HOSTS[number]) if kind is ZoneLost else kind()


def plan_of(
    kinds: tuple[type[Loss], ...], points: tuple[Point, ...], far: int = 0
) -> Plan:
    """Return a plan with losses of these kinds, the second at the first point."""
    losses = [_of_kind(kind, number) for number, kind in enumerate(kinds)]
    return Plan(
        first=losses[0],
        next_losses=tuple(
            NextLoss(loss=loss, point=point)
            for loss, point in zip(losses[1:], points, strict=True)
        ),
        jobs=JOBS,
        far_entries=frozenset(f"entry-{number}" for number in range(far)),
    )


def once_table() -> Iterator[Plan]:
    """Return a loss of each kind, with near owners, far ones and a near and far one."""
    for kind, far in itertools.product(KINDS, (0, 1, ENTRY_COUNT)):
        yield plan_of((kind,), (), far)


def twice_table() -> Iterator[Plan]:
    """Return losses of each two kinds, the second one at each point."""
    for first, second, point in itertools.product(KINDS, KINDS, Point):
        yield plan_of((first, second), (point,))


def thrice_table() -> Iterator[Plan]:
    """Return three losses of each kind, the second and third at each two points."""
    for kind, second, third in itertools.product(KINDS, Point, Point):
        yield plan_of((kind,) * 3, (second, third))


TABLES = {"once": once_table, "twice": twice_table, "thrice": thrice_table}


def draw_plan(seed: int) -> Plan:
    """Draw one to three losses, with jobs whose steps end at any time."""
    draw = random.Random(seed)
    hosts = iter(draw.sample(HOSTS, 3))

    def draw_loss() -> Loss:
        kind, away_s = draw.choice(KINDS), draw.uniform(5.0, 12.0)
        if kind is ZoneLost:
            return ZoneLost(host=next(hosts), away_s=away_s)
        return kind(away_s=away_s)

    first = draw_loss()
    next_losses = tuple(
        NextLoss(
            loss=draw_loss(),
            point=draw.choice(list(Point)),
            delay_s=draw.choice((0.0, draw.uniform(0.0, 0.05), draw.uniform(0.0, 0.6))),
        )
        for _ in range(draw.choice((0, 1, 1, 2, 2)))
    )
    jobs = [_draw_job(draw) for _ in range(9)]
    # Something always waits for the next owner.
    jobs.append(JobPlan(step_s=FIRST_LOSS_S + draw.uniform(-0.2, 0.2)))
    far = draw.sample(range(ENTRY_COUNT), draw.choice((0, 0, 1, 2, ENTRY_COUNT)))
    return Plan(
        first=first,
        next_losses=next_losses,
        jobs=tuple(jobs),
        first_loss_s=FIRST_LOSS_S + draw.uniform(0.0, 0.8),
        far_entries=frozenset(f"entry-{number}" for number in far),
    )


def _draw_job(draw: random.Random) -> JobPlan:
    step_s = draw.uniform(0.6, 6.0)
    return JobPlan(
        step_s=step_s,
        steps=max(2, min(4, int(MAX_WORK_S / step_s))),
        submitted_at_s=draw.choice((0.0, draw.uniform(0.0, 4.0))),
    )


def run_plan(plan: Plan) -> PlayResult:
    """Play a plan."""
    return OwnerLossPlay(plan).run()


# Many plays by hand


def plans_of(options: argparse.Namespace) -> Iterator[tuple[str, Plan]]:
    """Return the plans that the command line names."""
    if options.table:
        for number, plan in enumerate(TABLES[options.table]()):
            name = f"{options.table} {number}: {plan.describe()}"
            if options.only in name:
                yield name, plan
        return
    first, _, last = options.seeds.partition("-")
    for seed in range(int(first), int(last or first) + 1):
        plan = draw_plan(seed)
        yield f"seed {seed}: {plan.describe()}", plan


def _describe_result(result: PlayResult) -> str:
    parts = [result.worst.describe() if result.worst else "no idle span"]
    if result.worst is not None:
        parts += [
            f"{spent_s:.2f} s {phase.value}"
            for phase, spent_s in result.spent_s_by_phase().items()
        ]
    if result.first_start_s is not None:
        parts.append(f"first start {result.first_start_s:.2f} s after the loss")
    if result.worst_lost is not None:
        parts.append(f"runs of a lost host: {result.worst_lost.length_s:.2f} s")
    return "; ".join((*parts, *result.problems[:3]))


def main() -> int:
    """Play the plans of the command line, and print those over the bound."""
    parser = argparse.ArgumentParser(description="Lose owners in a row.")
    chosen = parser.add_mutually_exclusive_group(required=True)
    chosen.add_argument("--seeds", metavar="A-B")
    chosen.add_argument("--table", choices=sorted(TABLES))
    parser.add_argument("--only", default="", metavar="TEXT")
    parser.add_argument("--all", action="store_true", help="print each play")
    parser.add_argument("--trace", action="store_true", help="print what took the time")
    options = parser.parse_args()
    spans_by_kind: dict[str, list[float]] = defaultdict(list)
    first_starts_by_kind: dict[str, list[float]] = defaultdict(list)
    failed, worst = 0, (0.0, "")
    for name, plan in plans_of(options):
        result = run_plan(plan)
        is_late = bool(result.worst_s > MAX_IDLE_S or result.problems)
        failed += is_late
        worst = max(worst, (result.worst_s, name))
        kind = f"{type(plan.first).__name__} x{result.losses}"
        spans_by_kind[kind].append(result.worst_s)
        if result.losses == 1 and result.first_start_s is not None:
            first_starts_by_kind[kind].append(result.first_start_s)
        if is_late or options.all:
            print(f"{name}: {_describe_result(result)}", flush=True)
        if is_late and options.trace:
            print("\n".join(result.trace()), flush=True)
    for kind, spans in sorted(spans_by_kind.items()):
        over = sum(span > MAX_IDLE_S for span in spans)
        line = f"{kind}: {len(spans)} plays, {over} over, worst {max(spans):.2f} s"
        starts = first_starts_by_kind.get(kind)
        if starts:
            line += f", first start {min(starts):.2f} s to {max(starts):.2f} s"
        print(line)
    print(f"{failed} failed; worst {worst[0]:.2f} s, {worst[1]}")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
