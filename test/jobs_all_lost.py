"""All processes of a simulated site lost at a moment of the life of its jobs.

A loss strikes just before or soon after the nth command of a kind, and the processes
return one after another. From the last return on, every task whose turn has come has
to run in time, and all jobs have to complete.
`python -m test.jobs_all_lost --seeds A-B` runs many seeds, with `--sweep A-B` the cases
of a sweep over all kinds of commands; `PYTHONPATH` names the root.
"""

from __future__ import annotations

import argparse
import functools
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from bulrushpulley.entities.jobs.calls import CallAnswer
from bulrushpulley.entities.jobs.explanation import Explanation
from bulrushpulley.entities.jobs.intake_tables import PublishReady
from bulrushpulley.entities.jobs.items import Orders, RunsReport
from bulrushpulley.entities.jobs.rows import (
    FINAL_STATES,
    HarmEstimate,
    HarmsRow,
    JobState,
    ProgressRow,
    job_key,
    progress_key,
)
from bulrushpulley.entities.jobs.runs import RunOrder
from bulrushpulley.entities.jobs.scheduler_tables import ReadWallClock
from bulrushpulley.entities.jobs.store import ReadRange, Transact, Watch
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.observe import Count, Decision, Observe
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Command, Tell
from test.jobs_restarts import running_tasks
from test.jobs_world import SIZE, JobsWorld, step

HOSTS = ("z0-0", "z1-1", "z2-2", "z0-3")
ENTRIES = ("entry-0", "entry-1")
STARTUP_S = 2.0
LASTING_PAYLOAD = "1000.0"
# From the last return, or the beginning of a later wait, to the run of a task.
MAX_WAIT_S = 6.0
# The platform's rule: a job that could run has something running again by then.
MAX_IDLE_S = 3.0
# The platform's `GangTimeoutMs`.
GANG_TIMEOUT_S = 3.0
COMPLETION_TIMEOUT_S = 45.0
SETTLING_S = 3.0
CHECK_INTERVAL_S = 0.1
# A loss whose command is never issued strikes after this time.
MOMENT_TIMEOUT_S = 12.0
SECOND_MOMENT_TIMEOUT_S = 3.0
CROWD_COUNT = 260
SMALL_JOBS = 200
LARGE_SIZE = Resources(processors_m=2_000, memory_mb=3_000)
SMALL_SIZE = Resources(processors_m=4, memory_mb=4)
MAX_SWEPT_OF_A_KIND = 10
SEEDS_PER_MANY_JOBS = 25
# Before a command, and after a call, a message or a transaction.
SWEPT_DELAYS_S = (None, 0.0012, 0.0065)
SWEEP_DOWN_S = 0.9
SERVING_IMAGE = "serving"
FILLING_IMAGE = "filling"
TARGET_MS = 50.0
HARMS_ROW = HarmsRow(
    estimates=(
        HarmEstimate(
            serving=SERVING_IMAGE,
            filling=FILLING_IMAGE,
            estimate_ms=TARGET_MS / 2,
            variance=0.05,
        ),
    ),
    target_by_image=((SERVING_IMAGE, TARGET_MS),),
)


# The cases


@dataclass(frozen=True, kw_only=True, slots=True)
class Moment:
    """A moment that is `delay_s` after the nth command of a kind is carried out.

    Without a delay it is just before the command, which is then never carried out.
    """

    kind: str
    nth: int
    delay_s: float | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ServersLiveOn:
    """The backend servers go on without their agents."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServersLost:
    """The backend servers of `hosts` are lost and return as new incarnations."""

    hosts: tuple[str, ...]
    return_after_s: float
    same_id: bool


Servers = ServersLiveOn | ServersLost


@dataclass(frozen=True, kw_only=True, slots=True)
class Loss:
    """The processes are lost at a moment and return.

    Entries and agents return `down_s` and their own delay later, agents `spread_s`
    apart.
    """

    moment: Moment
    servers: Servers
    down_s: float
    entries_after_s: float
    agents_after_s: float
    spread_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreSlow:
    """The store takes longer by a factor."""

    factor: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreLosesAnswers:
    """Transactions get no answer."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreWritesLate:
    """Transactions get no answer and are applied late."""

    delay_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreAway:
    """The store refuses everything."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallsLate:
    """Starts and stops get no answer and are carried out late."""

    delay_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HostRefuses:
    """The backend server of a host refuses all starts."""

    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerSilent:
    """The backend server of a host answers no poll."""

    host: str


Trouble = (
    StoreSlow
    | StoreLosesAnswers
    | StoreWritesLate
    | StoreAway
    | CallsLate
    | HostRefuses
    | ServerSilent
)


@dataclass(frozen=True, kw_only=True, slots=True)
class JobMix:
    """The jobs of a site.

    Tasks may have checkpoints. If `crowded`, one job has a step of `CROWD_COUNT` tasks.
    If `gang`, second steps are gangs. If `images`, tasks that fill have an image that
    is known to harm the one of the lasting tasks. Each of `small_jobs` has two steps of
    one small task. If `large`, the tasks of the other jobs that end fill half a host.
    """

    checkpoints: bool = False
    crowded: bool = False
    gang: bool = False
    images: bool = False
    lasting: int = 3
    small_jobs: int = 0
    large: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class LossCase:
    """Losses, and troubles from the first moment to `trouble_s` after the last return.

    The moment of a later loss is counted from the returns of the one before.
    """

    losses: tuple[Loss, ...]
    jobs: JobMix = JobMix()
    troubles: tuple[Trouble, ...] = ()
    trouble_s: float = 0.0
    lists_machines: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class LossResult:
    """The problems found, and the longest waits after the last return."""

    problems: tuple[str, ...]
    longest_wait_s: float
    longest_idle_s: float


@singledispatch
def begin(trouble: Trouble, world: JobsWorld) -> None:
    """Let a trouble begin."""
    raise NotImplementedError(type(trouble).__name__)


@begin.register
def _(trouble: StoreSlow, world: JobsWorld) -> None:
    world.store_slowdown_factor = trouble.factor


@begin.register
def _(trouble: StoreLosesAnswers, world: JobsWorld) -> None:
    world.lose_answers = True


@begin.register
def _(trouble: StoreWritesLate, world: JobsWorld) -> None:
    world.late_writes_s = trouble.delay_s


@begin.register
def _(trouble: StoreAway, world: JobsWorld) -> None:
    world.store_up = False


@begin.register
def _(trouble: CallsLate, world: JobsWorld) -> None:
    world.call_delay_s = trouble.delay_s


@begin.register
def _(trouble: HostRefuses, world: JobsWorld) -> None:
    world.refusing_hosts.add(trouble.host)


@begin.register
def _(trouble: ServerSilent, world: JobsWorld) -> None:
    world.unlisted_hosts.add(trouble.host)


def end_all(world: JobsWorld) -> None:
    """End all troubles."""
    world.refusing_hosts.clear()
    world.unlisted_hosts.clear()
    world.store_slowdown_factor = 1.0
    world.lose_answers = False
    world.late_writes_s = 0.0
    world.store_up = True
    world.call_delay_s = 0.0


@singledispatch
def kind_of(command: Command) -> str:
    """Return the name of what a command does, by which moments are counted."""
    return type(command).__name__


@kind_of.register
def _(command: Send) -> str:
    return _kind_of_item(command.item)


@kind_of.register(Transact)
@kind_of.register(ReadRange)
@kind_of.register(Watch)
def _(command: Transact | ReadRange | Watch) -> str:
    return f"{type(command).__name__} {type(command.purpose).__name__}"


@kind_of.register(Count)
@kind_of.register(Observe)
@kind_of.register(Decision)
@kind_of.register(PublishReady)
@kind_of.register(CallAnswer)
@kind_of.register(Explanation)
@kind_of.register(ReadWallClock)
@kind_of.register(Tell)
def _(command: Command) -> str:
    """Return no name for what has no effect outside of a process."""
    return ""


@singledispatch
def _kind_of_item(item: object) -> str:
    return type(item).__name__


@_kind_of_item.register
def _(item: Orders) -> str:
    parts = ("start", item.start), ("stop", item.stop), ("complete", item.complete)
    return " ".join(["Orders", *(name for name, value in parts if value)])


@_kind_of_item.register
def _(item: RunsReport) -> str:
    parts = ("runs", item.runs), ("ends", item.ends), ("complete", item.complete)
    return " ".join(["RunsReport", *(name for name, value in parts if value)])


# The site and its jobs


def start_site(jobs: JobMix) -> JobsWorld:
    """Start a site that has room for all jobs at once."""
    world = JobsWorld(entries=len(ENTRIES), hosts=len(HOSTS))
    for executor in world.executor_by_host.values():
        executor.checkpoints = jobs.checkpoints
    world.run(STARTUP_S)
    if jobs.images:
        # The next owner reads it.
        world.store.put(HARMS_ROW)
    return world


def submit_jobs(world: JobsWorld, jobs: JobMix) -> None:
    """Submit two jobs of two steps and a lasting one, and a crowd if there is one."""
    filling: dict[str, Any] = {"checkpoints": jobs.checkpoints}
    lasting: dict[str, Any] = {"checkpoints": jobs.checkpoints, "lasting": True}
    if jobs.images:
        filling |= {"image": FILLING_IMAGE, "fills": True}
        lasting |= {"image": SERVING_IMAGE, "latency_target_ms": TARGET_MS}
    first: dict[str, Any] = {**filling, "size": LARGE_SIZE if jobs.large else SIZE}
    second: dict[str, Any] = {**first, "after": (0,), "gang": jobs.gang}
    steps = step(2, **first), step(2, **second)
    world.submit(1, *steps, payload="1.2")
    world.submit(2, *steps, payload="5.0", entry=ENTRIES[1])
    world.submit(3, step(jobs.lasting, **lasting), payload=LASTING_PAYLOAD)
    small: dict[str, Any] = {**filling, "size": SMALL_SIZE}
    rest: dict[str, Any] = {**small, "after": (0,)}
    for number in range(jobs.small_jobs):
        steps = step(1, **small), step(1, **rest)
        world.submit(100 + number, *steps, payload="2.0", entry=ENTRIES[number % 2])
    if jobs.crowded:
        crowd = step(CROWD_COUNT, **small)
        steps = crowd, step(CROWD_COUNT // 4, **rest)
        world.submit(4, *steps, payload="2.0", entry=ENTRIES[1])


def _counts_in(world: JobsWorld, jobs: JobMix, for_s: float) -> Counter[str]:
    """Count the commands of each kind from the submission of jobs on."""
    counts: Counter[str] = Counter()

    def count(command: Command) -> None:
        counts[kind_of(command)] += 1

    world.hook = count
    submit_jobs(world, jobs)
    world.run(for_s)
    del counts[""]
    return counts


@functools.cache
def command_counts(jobs: JobMix) -> Counter[str]:
    """Return how many commands of each kind jobs cause on a calm site."""
    return _counts_in(start_site(jobs), jobs, MOMENT_TIMEOUT_S)


@functools.cache
def recovery_counts() -> Counter[str]:
    """Return how many commands of each kind a site issues in its first seconds."""
    world = JobsWorld(entries=len(ENTRIES), hosts=len(HOSTS))
    return _counts_in(world, JobMix(), SECOND_MOMENT_TIMEOUT_S)


class RecoveryWatch:
    """Notes from `ready_at` on how long tasks and jobs wait that could run."""

    def __init__(self, world: JobsWorld, ready_at: float) -> None:
        self._world = world
        self.ready_at = ready_at
        self._waiting_since: dict[str, float] = {}
        self._idle_since: dict[str, float] = {}
        self.longest_wait: dict[str, float] = {}
        self.longest_idle: dict[str, float] = {}
        self.late_idle: dict[str, float] = {}
        world.at(max(0.0, ready_at - world.now), self._check)

    def _check(self) -> None:
        now = self._world.now
        running = set(running_tasks(self._world))
        listed = listed_as_done(self._world)
        waiting, idle = set[str](), set[str]()
        for job_id in accepted_jobs(self._world):
            due = set(due_tasks(self._world, job_id))
            waiting |= due - listed - running
            is_running = any(task.startswith(f"{job_id}.") for task in running)
            if self._world.state_of(job_id) not in FINAL_STATES and not is_running:
                idle.add(job_id)
        _note(self._waiting_since, self.longest_wait, waiting, now)
        _note(self._idle_since, self.longest_idle, idle, now)
        for job_id in idle:
            since = max(self._idle_since[job_id], self.ready_at + MAX_WAIT_S)
            self.late_idle[job_id] = max(now - since, self.late_idle.get(job_id, 0.0))
        self._world.at(CHECK_INTERVAL_S, self._check)

    def problems(self) -> list[str]:
        """Return a line for each task and job that waited too long."""
        late = [
            f"{task} waited {wait_s:.1f} s"
            for task, wait_s in sorted(self.longest_wait.items())
            if wait_s > MAX_WAIT_S
        ]
        return late + [
            f"{job_id} had nothing running for {idle_s:.1f} s"
            for job_id, idle_s in sorted(self.late_idle.items())
            if idle_s >= MAX_IDLE_S
        ]


def _note(
    since: dict[str, float], longest: dict[str, float], names: set[str], now: float
) -> None:
    for name in list(since):
        if name not in names:
            del since[name]
    for name in names:
        wait_s = now - since.setdefault(name, now)
        longest[name] = max(wait_s, longest.get(name, 0.0))


def accepted_jobs(world: JobsWorld) -> Iterator[str]:
    """Return the jobs whose rows are durable."""
    return (
        job_id
        for job_id in world.spec_by_job
        if job_key(job_id) in world.store.row_by_key
    )


def due_tasks(world: JobsWorld, job_id: str) -> Iterator[str]:
    """Return the tasks that are not done and follow only steps that are done."""
    stored = world.store.row_by_key.get(progress_key(job_id))
    row = stored.row if stored else None
    progress = row if isinstance(row, ProgressRow) else None
    if progress is not None and progress.state in FINAL_STATES:
        return
    tasks = progress.tasks if progress else ()
    done = {(task.step, task.index) for task in tasks if task.done}
    steps = world.spec_by_job[job_id].steps
    for number, spec in enumerate(steps):
        if all((n, i) in done for n in spec.after for i in range(steps[n].count)):
            for index in range(spec.count):
                if (number, index) not in done:
                    yield f"{job_id}.0.{number}.{index}"


def listed_as_done(world: JobsWorld) -> set[str]:
    """Return the tasks whose success a backend server reports."""
    return {
        end.task_id
        for executor in world.executor_by_host.values()
        for end in executor.ends
        if executor.up and end.how == "done"
    }


class GangTimeout:
    """Ends the members of gangs that run without the others for too long."""

    def __init__(self, world: JobsWorld) -> None:
        self._world = world
        self._alone_since: dict[tuple[str, str], float] = {}
        self._check()

    def _check(self) -> None:
        now = self._world.now
        alone = {
            (executor.host, key)
            for executor in self._world.executor_by_host.values()
            for key, working in executor.run_by_key.items()
            if executor.up and self._lacks_others(working.order)
        }
        self._alone_since = {each: self._alone_since.get(each, now) for each in alone}
        for (host, key), since in self._alone_since.items():
            if now - since >= GANG_TIMEOUT_S:
                self._world.executor_by_host[host].end_alone(key)
        self._world.at(CHECK_INTERVAL_S, self._check)

    def _lacks_others(self, order: RunOrder) -> bool:
        job_id, _, number, _ = order.task_id.split(".")
        spec = self._world.spec_by_job[job_id].steps[int(number)]
        running = sum(
            working.order.task_id.startswith(f"{job_id}.0.{number}.")
            and working.order.run == order.run
            for executor in self._world.executor_by_host.values()
            for working in executor.run_by_key.values()
        )
        return spec.gang and running < spec.count


class LossPlay:
    """One play of a case."""

    def __init__(self, case: LossCase) -> None:
        self.case = case
        self.world = start_site(case.jobs)
        self.world.machines_up = case.lists_machines
        GangTimeout(self.world)
        self.returned_at = 0.0
        self._lost = 0
        self._lost_by_name: dict[str, int] = {}
        self._seen = 0
        self._counting = False
        self.struck_by: list[str] = []
        self.watch: RecoveryWatch | None = None

    def run(self) -> LossResult:
        """Play the case and return the problems."""
        world = self.world
        world.hook = self._handle_command
        submit_jobs(world, self.case.jobs)
        self._await_loss(MOMENT_TIMEOUT_S)
        world.run_until(lambda: self.watch is not None, COMPLETION_TIMEOUT_S)
        assert self.watch is not None
        # Late transactions have been applied by then.
        world.run(max(0.0, self.watch.ready_at - world.now) + MAX_WAIT_S)
        world.run_until(self._is_served, COMPLETION_TIMEOUT_S)
        world.run(SETTLING_S)
        problems = [*world.violations, *self.watch.problems(), *self._final_problems()]
        return LossResult(
            problems=tuple(problems),
            longest_wait_s=max(self.watch.longest_wait.values(), default=0.0),
            longest_idle_s=max(self.watch.longest_idle.values(), default=0.0),
        )

    # The losses

    def _await_loss(self, timeout_s: float) -> None:
        self._seen, self._counting = 0, True
        number = self._lost

        def strike_late() -> None:
            if self._counting and self._lost == number:
                self._begin_and_strike("timeout", 0.0)

        self.world.at(timeout_s, strike_late)

    def _handle_command(self, command: Command) -> None:
        if not self._counting:
            return
        moment = self.case.losses[self._lost].moment
        if kind_of(command) != moment.kind:
            return
        self._seen += 1
        if self._seen == moment.nth:
            self._begin_and_strike(moment.kind, moment.delay_s)

    def _begin_and_strike(self, kind: str, delay_s: float | None) -> None:
        self._counting = False
        self.struck_by.append(kind)
        for trouble in self.case.troubles:
            begin(trouble, self.world)
        if delay_s is None:
            self._strike()
        else:
            self.world.at(delay_s, self._strike)

    def _strike(self) -> None:
        loss = self.case.losses[self._lost]
        self._lost += 1
        number, world = self._lost, self.world
        for name in world.process_by_name:
            world.kill(name)

        def start_later(name: str, after_s: float, start: Callable[[], None]) -> None:
            self._lost_by_name[name] = number
            self.returned_at = max(self.returned_at, world.now + after_s)

            def start_unless_lost_again() -> None:
                if self._lost_by_name[name] == number:
                    start()

            world.at(after_s, start_unless_lost_again)

        for name in ENTRIES:
            after_s = loss.down_s + loss.entries_after_s
            start_later(name, after_s, functools.partial(world.start_entry, name))
        for position, host in enumerate(HOSTS):
            after_s = loss.down_s + loss.agents_after_s + position * loss.spread_s
            start_later(host, after_s, functools.partial(world.start_agent, host))
        lose_servers(loss.servers, world, start_later)
        if self._lost < len(self.case.losses):
            world.at(loss.down_s, lambda: self._await_loss(SECOND_MOMENT_TIMEOUT_S))
            return
        troubled_s = self.returned_at - world.now + self.case.trouble_s
        world.at(troubled_s, lambda: end_all(world))
        is_troubled = any(
            not isinstance(each, StoreSlow) for each in self.case.troubles
        )
        ready_at = self.returned_at + (self.case.trouble_s if is_troubled else 0.0)
        self.watch = RecoveryWatch(world, ready_at)

    # The judgement

    def _is_served(self) -> bool:
        world = self.world
        running = set(running_tasks(world))
        return all(
            self._lasting_tasks(job_id) <= running
            if self._lasting_tasks(job_id)
            else world.state_of(job_id) is JobState.COMPLETED
            for job_id in accepted_jobs(world)
        )

    def _lasting_tasks(self, job_id: str) -> set[str]:
        return {
            f"{job_id}.0.{number}.{index}"
            for number, spec in enumerate(self.world.spec_by_job[job_id].steps)
            for index in range(spec.count)
            if spec.lasting
        }

    def _final_problems(self) -> list[str]:
        world = self.world
        accepted = list(accepted_jobs(world))
        lasting = set[str]().union(*(self._lasting_tasks(each) for each in accepted))
        problems = [
            f"{job_id} is {world.state_of(job_id)}"
            for job_id in accepted
            if not self._lasting_tasks(job_id)
            and world.state_of(job_id) is not JobState.COMPLETED
        ]
        running = running_tasks(world)
        if sorted(running) != sorted(lasting):
            problems.append(f"running at the end: {sorted(running)}")
        unnoted = [
            f"{executor.host}: {end.task_id}"
            for executor in world.executor_by_host.values()
            for end in executor.ends
            if executor.up
        ]
        if unnoted:
            problems.append(f"ends never acknowledged: {unnoted}")
        if not world.owner():
            problems.append("nobody owns the shard")
        return problems


StartLater = Callable[[str, float, Callable[[], None]], None]


@singledispatch
def lose_servers(
    servers: Servers,
    world: JobsWorld,
    start_later: StartLater,
) -> None:
    """Lose backend servers together with the processes, and let them return."""
    raise NotImplementedError(type(servers).__name__)


@lose_servers.register
def _(
    servers: ServersLiveOn,
    world: JobsWorld,
    start_later: StartLater,
) -> None:
    pass


@lose_servers.register
def _(
    servers: ServersLost,
    world: JobsWorld,
    start_later: StartLater,
) -> None:
    for host in servers.hosts:
        executor = world.executor_by_host[host]
        executor.crash()

        def start(host: str = host) -> None:
            restarting = world.executor_by_host[host]
            restarting.restart(world.now, same_id=servers.same_id)

        start_later(f"server of {host}", servers.return_after_s, start)


def run_case(case: LossCase) -> LossResult:
    """Play a case."""
    return LossPlay(case).run()


# The case of a seed


def draw_case(seed: int) -> LossCase:
    """Return the case of a seed."""
    draw = random.Random(f"all lost {seed}")
    crowded = draw.random() < 0.06
    large = draw.random() < 0.25
    jobs = JobMix(
        checkpoints=draw.random() < 0.5,
        crowded=crowded,
        gang=draw.random() < 0.25,
        images=draw.random() < 0.25,
        lasting=3 if crowded or large else draw.choice((3, 3, 9)),
        large=large,
        small_jobs=SMALL_JOBS if seed % SEEDS_PER_MANY_JOBS == 0 else 0,
    )
    losses = [_draw_loss(draw, command_counts(jobs))]
    if draw.random() < 0.35:
        losses.append(_draw_loss(draw, recovery_counts()))
    return LossCase(
        losses=tuple(losses),
        jobs=jobs,
        troubles=_draw_troubles(draw),
        trouble_s=draw.choice((0.0, 0.3, 1.0, 2.0)),
        lists_machines=draw.random() < 0.8,
    )


def _draw_loss(draw: random.Random, counts: Counter[str]) -> Loss:
    kind = draw.choice(sorted(counts))
    # Up to the time of a call, of a message, of a transaction, and of several.
    delay_s = draw.choice((None, None, 0.0, 0.0008, 0.0012, 0.0065, 0.05, 0.6, 1.5))
    down_s = draw.uniform(0.5, 4.0)
    entries_after_s, agents_after_s = draw.choice(
        ((0.0, 0.0), (0.0, 0.3), (0.0, 2.0), (0.3, 0.0), (2.0, 0.0), (3.5, 0.0))
    )
    return Loss(
        moment=Moment(kind=kind, nth=draw.randint(1, counts[kind]), delay_s=delay_s),
        servers=_draw_servers(draw, down_s),
        down_s=down_s,
        entries_after_s=entries_after_s,
        agents_after_s=agents_after_s,
        spread_s=draw.choice((0.0, 0.05, 0.4)),
    )


def _draw_servers(draw: random.Random, down_s: float) -> Servers:
    how = draw.choice(("live on", "all", "all", "some"))
    if how == "live on":
        return ServersLiveOn()
    hosts = HOSTS if how == "all" else tuple(draw.sample(HOSTS, draw.randint(1, 3)))
    return ServersLost(
        hosts=hosts,
        return_after_s=down_s + draw.choice((-0.3, 0.0, 0.5, 2.0)),
        same_id=draw.random() < 0.3,
    )


def _draw_troubles(draw: random.Random) -> tuple[Trouble, ...]:
    troubles: list[Trouble] = []
    if draw.random() < 0.5:
        troubles.append(
            draw.choice(
                (
                    StoreSlow(factor=draw.choice((5.0, 15.0))),
                    StoreLosesAnswers(),
                    StoreWritesLate(delay_s=draw.uniform(0.3, 5.0)),
                    StoreAway(),
                )
            )
        )
    if draw.random() < 0.25:
        troubles.append(CallsLate(delay_s=draw.uniform(1.0, 12.0)))
    if draw.random() < 0.2:
        kind = draw.choice((HostRefuses, ServerSilent))
        troubles.append(kind(host=draw.choice(HOSTS)))
    return tuple(troubles)


# Every kind of command in turn


def sweep_cases() -> Iterator[LossCase]:
    """Return cases that strike before and after commands of each kind.

    The loss is the only one, or it follows another one that strikes in the middle.
    """
    servers: tuple[Servers, ...] = (
        ServersLiveOn(),
        _all_servers(same_id=False),
        _all_servers(same_id=True),
    )
    jobs = JobMix(checkpoints=True)
    for moment, lost in itertools.product(_moments(command_counts(jobs)), servers):
        yield LossCase(losses=(_loss(moment, lost),), jobs=jobs)
    middle = Moment(kind="RunsReport ends", nth=3, delay_s=0.003)
    first = _loss(middle, _all_servers(same_id=False))
    for moment, lost in itertools.product(_moments(recovery_counts()), servers[:2]):
        yield LossCase(losses=(first, _loss(moment, lost)), jobs=jobs)


def _all_servers(*, same_id: bool) -> ServersLost:
    return ServersLost(hosts=HOSTS, return_after_s=SWEEP_DOWN_S, same_id=same_id)


def _loss(moment: Moment, servers: Servers) -> Loss:
    return Loss(
        moment=moment,
        servers=servers,
        down_s=SWEEP_DOWN_S,
        entries_after_s=0.0,
        agents_after_s=0.3,
        spread_s=0.0,
    )


def _moments(counts: Counter[str]) -> Iterator[Moment]:
    for kind, count in sorted(counts.items()):
        step_by = -(-count // MAX_SWEPT_OF_A_KIND)
        for nth in range(1, count + 1, step_by):
            for delay_s in SWEPT_DELAYS_S:
                yield Moment(kind=kind, nth=nth, delay_s=delay_s)


def cases_of(options: argparse.Namespace) -> Iterator[tuple[str, LossCase]]:
    """Return the cases that the command line names."""
    if options.sweep:
        first, _, last = options.sweep.partition("-")
        cases = enumerate(sweep_cases())
        for number, case in itertools.islice(cases, int(first), int(last) + 1):
            yield f"case {number}", case
        return
    first, _, last = options.seeds.partition("-")
    for seed in range(int(first), int(last or first) + 1):
        yield f"seed {seed}", draw_case(seed)


def main() -> int:
    """Run the cases of the command line, and print those that fail."""
    parser = argparse.ArgumentParser(description="Lose all processes of a site.")
    chosen = parser.add_mutually_exclusive_group(required=True)
    chosen.add_argument("--seeds", metavar="A-B")
    chosen.add_argument("--sweep", metavar="A-B", help="cases by their numbers")
    count, failed = 0, 0
    longest_wait, longest_idle = (0.0, ""), (0.0, "")
    for name, case in cases_of(parser.parse_args()):
        result = run_case(case)
        count += 1
        longest_wait = max(longest_wait, (result.longest_wait_s, name))
        longest_idle = max(longest_idle, (result.longest_idle_s, name))
        if result.longest_wait_s > MAX_WAIT_S / 2:
            print(f"{name}: waited {result.longest_wait_s:.1f} s", flush=True)
        if result.problems:
            failed += 1
            print(f"{name}: {'; '.join(result.problems[:3])}", flush=True)
    print(f"longest wait {longest_wait}, longest idle {longest_idle}")
    print(f"{count} cases, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
