"""Random series of overlapping troubles on a simulated site, drawn from a seed.

After the last trouble has ended, every accepted job has to complete, and every lasting
task to run, within a bounded time. A calm plan has one trouble, or one and another of
the owner, and its lasting tasks have to run again in time after their last run.
`python -m test.jobs_trouble_series --seeds A-B` runs many seeds, with `--calm` of calm
plans, and shrinks the plans of those that fail; `PYTHONPATH` names the root.
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import singledispatch

from bulrushpulley.entities.jobs.bounds import Bounds
from bulrushpulley.entities.jobs.calls import CancelCall
from bulrushpulley.entities.jobs.executor_calls import (
    ExecutorCommand,
    PaceRun,
    PollRuns,
    StartRun,
    StopRun,
    Withdrawn,
)
from bulrushpulley.entities.jobs.job_agent_tables import JOB_AGENT
from bulrushpulley.entities.jobs.rows import JobState
from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.resources import Resources
from test.jobs_restarts import (
    KILL_S,
    MAX_ALONE_S,
    MAX_WITH_OWNER_S,
    OWNER_TROUBLE_WITHIN_S,
    RestartWatch,
    running_tasks,
)
from test.jobs_world import (
    LINK_TIMEOUT_S,
    QUEUE,
    JobsWorld,
    LateCalls,
    step,
)

ENTRIES = tuple(f"entry-{number}" for number in range(3))
HOSTS = tuple(f"z{number % 3}-{number}" for number in range(8))
DOMAINS = ("z0", "z1", "z2")
STARTUP_S = 2.0
RESTART_DELAY_S = 0.5
# The platform asks for jobs this long after the end of traffic.
FINISH_S = 14.0
# A lasting task has to run this long after its last run, and is then watched.
LASTING_RESTART_S = 6.0
LASTING_WATCH_S = 3.0
LASTING_PAYLOAD = "1000.0"
# No trouble is drawn that lasts longer.
LONGEST_TROUBLE_S = 12.0
# Leases that a trouble has let expire have ended by then, and their runs are back.
CALM_WATCH_S = 16.0
BOUNDS = Bounds(kill_s=0.3)


@dataclass(frozen=True, kw_only=True, slots=True)
class Trouble:
    """A trouble that begins at `at_s` and lasts for `for_s`, since traffic began."""

    at_s: float
    for_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessKilled(Trouble):
    """A process is killed, and started again at the end."""

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerKilled(Trouble):
    """The owner of the shard is killed, and started again at the end."""


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryLeaves(Trouble):
    """An entry is told to stop, ends at the end and is started again."""

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessFrozen(Trouble):
    """A process is suspended; its links end when they were silent for too long."""

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerFrozen(Trouble):
    """The owner of the shard is suspended."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerCutOff(Trouble):
    """The owner of the shard reaches no other process and not the store."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerCrashed(Trouble):
    """A backend server crashes, and its next incarnation starts at the end."""

    host: str
    same_id: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class HostGone(Trouble):
    """A backend server and its agent end for good."""

    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerDrains(Trouble):
    """A backend server drains, withdraws at the end, and is succeeded by another."""

    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class CutOff(Trouble):
    """A process reaches no other process and not the store."""

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class PairCut(Trouble):
    """Two processes cannot reach each other."""

    name: str
    other: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkDropped(Trouble):
    """The link of an agent ends at one end, and at the other one at the end."""

    host: str
    at_agent: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class LinkSilent(Trouble):
    """What one end of a link sends is lost; the link is then closed."""

    host: str
    from_agent: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class CallsLate(Trouble):
    """Calls to backend servers get no answer and are carried out late."""

    seed: int
    start: float
    stop: float
    pace: float
    poll: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreDown(Trouble):
    """The store refuses everything."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreSlow(Trouble):
    """The store takes longer by a factor."""

    factor: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreAnswersLost(Trouble):
    """Transactions get no answer and are applied at once or later."""

    applied_after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreReadsFail(Trouble):
    """Reads of the store fail."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCutOff(Trouble):
    """A process does not reach the store."""

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Evacuated(Trouble):
    """A failure domain is evacuated, and the order withdrawn at the end."""

    domain: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ListsLate(Trouble):
    """The platform's list of machines is as old as the delay, or never answered."""

    delay_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class JobPlan:
    """A job that a caller submits, and cancels if `cancelled_at_s` is not zero."""

    number: int
    at_s: float
    entry: str
    payload: str
    steps: tuple[StepSpec, ...]
    cancelled_at_s: float = 0.0

    @property
    def chain_s(self) -> float:
        """The work on the longest chain of steps, which all follow one another."""
        return float(self.payload) * len(self.steps)

    @property
    def lasting(self) -> bool:
        """Whether the tasks of the job last."""
        return any(planned.lasting for planned in self.steps)


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """Jobs and troubles; all troubles have ended at `ends_at_s`.

    Unless `lists_machines`, the platform never lists machines, and only the end of
    their leases shows that runs of lost hosts have ended. In a calm plan, each lasting
    task has to run again `max_restart_s` after its last run, whenever that is.
    """

    jobs: tuple[JobPlan, ...]
    troubles: tuple[Trouble, ...]
    ends_at_s: float
    lists_machines: bool
    max_restart_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class SeriesResult:
    """The result of a run: its world, and the problems found."""

    world: JobsWorld
    problems: tuple[str, ...]


# The plan of a seed


@dataclass(frozen=True, kw_only=True, slots=True)
class Moment:
    """The time of a trouble whose kind is yet to be drawn, and how long it may last."""

    at_s: float
    room_s: float

    def within(self, draw: random.Random, shortest_s: float, longest_s: float) -> float:
        """Draw a duration that ends in time."""
        return min(self.room_s, draw.uniform(shortest_s, longest_s))


Drawing = Callable[[random.Random, Moment], Trouble]


def _calls_late(draw: random.Random, moment: Moment) -> Trouble:
    return CallsLate(
        at_s=moment.at_s,
        for_s=moment.within(draw, 0.5, 8.0),
        seed=draw.randrange(1_000_000),
        start=draw.choice((0.0, 0.2, 0.6, 1.0)),
        stop=draw.choice((0.0, 0.2, 0.6, 1.0)),
        pace=draw.choice((0.0, 0.5)),
        poll=draw.choice((0.0, 0.05, 0.3)),
    )


DRAWING_BY_KIND: Mapping[str, Drawing] = {
    "agent killed": lambda draw, moment: ProcessKilled(
        at_s=moment.at_s,
        for_s=moment.within(draw, 0.3, 8.0),
        name=draw.choice(HOSTS),
    ),
    "entry killed": lambda draw, moment: ProcessKilled(
        at_s=moment.at_s,
        for_s=moment.within(draw, 0.3, 8.0),
        name=draw.choice(ENTRIES),
    ),
    "owner killed": lambda draw, moment: OwnerKilled(
        at_s=moment.at_s, for_s=moment.within(draw, 0.3, 8.0)
    ),
    "entry leaves": lambda draw, moment: EntryLeaves(
        at_s=moment.at_s,
        for_s=moment.within(draw, 0.5, 3.0),
        name=draw.choice(ENTRIES),
    ),
    "process frozen": lambda draw, moment: ProcessFrozen(
        at_s=moment.at_s,
        for_s=moment.within(draw, 1.0, 10.0),
        name=draw.choice(HOSTS + ENTRIES),
    ),
    "owner frozen": lambda draw, moment: OwnerFrozen(
        at_s=moment.at_s, for_s=moment.within(draw, 1.0, 10.0)
    ),
    "server crashed": lambda draw, moment: ServerCrashed(
        at_s=moment.at_s,
        for_s=moment.within(draw, 0.2, 6.0),
        host=draw.choice(HOSTS),
        same_id=draw.random() < 0.4,
    ),
    "host gone": lambda draw, moment: HostGone(
        at_s=moment.at_s, for_s=0.0, host=draw.choice(HOSTS[:2])
    ),
    "server drains": lambda draw, moment: ServerDrains(
        at_s=moment.at_s,
        for_s=moment.within(draw, 1.0, 6.0),
        host=draw.choice(HOSTS),
    ),
    "cut off": lambda draw, moment: CutOff(
        at_s=moment.at_s,
        for_s=moment.within(draw, 1.0, 12.0),
        name=draw.choice(HOSTS + ENTRIES),
    ),
    "pair cut": lambda draw, moment: PairCut(
        at_s=moment.at_s,
        for_s=moment.within(draw, 1.0, 12.0),
        name=draw.choice(HOSTS),
        other=draw.choice(ENTRIES),
    ),
    "link dropped": lambda draw, moment: LinkDropped(
        at_s=moment.at_s,
        for_s=moment.within(draw, 0.0, 3.0),
        host=draw.choice(HOSTS),
        at_agent=draw.random() < 0.5,
    ),
    "link silent": lambda draw, moment: LinkSilent(
        at_s=moment.at_s,
        for_s=moment.within(draw, 0.1, LINK_TIMEOUT_S),
        host=draw.choice(HOSTS),
        from_agent=draw.random() < 0.5,
    ),
    "calls late": _calls_late,
    "store down": lambda draw, moment: StoreDown(
        at_s=moment.at_s, for_s=moment.within(draw, 0.5, 9.0)
    ),
    "store slow": lambda draw, moment: StoreSlow(
        at_s=moment.at_s,
        for_s=moment.within(draw, 1.0, 8.0),
        factor=draw.choice((5.0, 30.0, 100.0)),
    ),
    "answers lost": lambda draw, moment: StoreAnswersLost(
        at_s=moment.at_s,
        for_s=moment.within(draw, 0.5, 4.0),
        applied_after_s=draw.choice((0.0, 0.0, draw.uniform(0.5, 4.0))),
    ),
    "reads fail": lambda draw, moment: StoreReadsFail(
        at_s=moment.at_s, for_s=moment.within(draw, 0.5, 6.0)
    ),
    "store cut off": lambda draw, moment: StoreCutOff(
        at_s=moment.at_s,
        for_s=moment.within(draw, 1.0, 10.0),
        name=draw.choice(ENTRIES),
    ),
    "evacuated": lambda draw, moment: Evacuated(
        at_s=moment.at_s,
        for_s=moment.within(draw, 1.0, 8.0),
        domain=draw.choice(DOMAINS),
    ),
    "lists late": lambda draw, moment: ListsLate(
        at_s=moment.at_s,
        for_s=moment.within(draw, 1.0, 8.0),
        # The longest is beyond the timeout of the request.
        delay_s=draw.choice((0.3, 1.2, 2.0)),
    ),
}


# Drawn for a calm plan beside another trouble.
OWNER_DRAWINGS: tuple[Drawing, ...] = (
    DRAWING_BY_KIND["owner killed"],
    DRAWING_BY_KIND["owner frozen"],
    lambda draw, moment: OwnerCutOff(
        at_s=moment.at_s, for_s=moment.within(draw, 1.0, 12.0)
    ),
)


def draw_plan(seed: int) -> Plan:
    """Return the plan of a seed."""
    draw = random.Random(seed)
    ends_at_s = draw.uniform(8.0, 22.0)
    kinds = draw.sample(list(DRAWING_BY_KIND), k=draw.randint(2, 6))
    troubles = []
    for _ in range(draw.randint(3, 16)):
        # Half of the troubles begin shortly before the end.
        earliest_s = ends_at_s - 5.0 if draw.random() < 0.5 else 0.5
        at_s = draw.uniform(earliest_s, ends_at_s - 0.2)
        moment = Moment(at_s=at_s, room_s=ends_at_s - at_s)
        troubles.append(DRAWING_BY_KIND[draw.choice(kinds)](draw, moment))
    troubles.sort(key=lambda trouble: trouble.at_s)
    return Plan(
        jobs=_draw_jobs(draw, ends_at_s),
        troubles=tuple(troubles),
        ends_at_s=ends_at_s,
        lists_machines=draw.random() < 0.5,
    )


def draw_calm_plan(seed: int) -> Plan:
    """Return a plan with one trouble, or one and another of the owner.

    Three quarters of the seeds have the second trouble.
    """
    draw = random.Random(f"calm {seed}")
    at_s = draw.uniform(1.0, 6.0)
    kind = draw.choice(list(DRAWING_BY_KIND))
    troubles = [_draw_trouble(draw, DRAWING_BY_KIND[kind], at_s)]
    max_restart_s = MAX_ALONE_S
    if draw.random() < 0.75:
        max_restart_s = MAX_WITH_OWNER_S
        apart_s = draw.uniform(-OWNER_TROUBLE_WITHIN_S, OWNER_TROUBLE_WITHIN_S)
        owner_at_s = max(0.1, at_s + apart_s)
        troubles.append(_draw_trouble(draw, draw.choice(OWNER_DRAWINGS), owner_at_s))
    troubles.sort(key=lambda trouble: trouble.at_s)
    count = draw.randint(8, 16)
    job = JobPlan(
        number=99,
        at_s=0.0,
        entry=draw.choice(ENTRIES),
        payload=LASTING_PAYLOAD,
        steps=(step(count, lasting=True),),
    )
    return Plan(
        jobs=(job,),
        troubles=tuple(troubles),
        ends_at_s=max(trouble.at_s + trouble.for_s for trouble in troubles),
        lists_machines=True,
        max_restart_s=max_restart_s,
    )


def _draw_trouble(draw: random.Random, drawing: Drawing, at_s: float) -> Trouble:
    return drawing(draw, Moment(at_s=at_s, room_s=LONGEST_TROUBLE_S))


def _draw_jobs(draw: random.Random, ends_at_s: float) -> tuple[JobPlan, ...]:
    """Draw jobs that together need less than half of six hosts."""
    jobs = []
    for number in range(draw.randint(3, 6)):
        size = Resources(processors_m=draw.choice((100, 150)), memory_mb=200)
        counts = draw.randint(2, 10), draw.randint(2, 10)
        # The job with larger tasks has few of them.
        if number == 0:
            size = Resources(processors_m=2_000, memory_mb=2_000)
            counts = 2, 2
        first = step(counts[0], size=size)
        jobs.append(
            JobPlan(
                number=number,
                at_s=draw.uniform(0.0, ends_at_s - 1.0),
                entry=draw.choice(ENTRIES),
                payload=f"{draw.uniform(0.3, 4.0):.1f}",
                steps=(first, step(counts[1], size=size, after=(0,))),
                cancelled_at_s=ends_at_s - 0.5 if draw.random() < 0.15 else 0.0,
            )
        )
    lasting = step(
        draw.randint(2, 5),
        size=Resources(processors_m=200, memory_mb=200),
        lasting=True,
    )
    jobs.append(
        JobPlan(
            number=99,
            at_s=0.0,
            entry=draw.choice(ENTRIES),
            payload=LASTING_PAYLOAD,
            steps=(lasting,),
        )
    )
    return tuple(jobs)


# The troubles


@singledispatch
def begin(trouble: Trouble, world: JobsWorld) -> None:
    """Let a trouble begin; it ends by itself."""
    raise NotImplementedError(type(trouble).__name__)


def _start_if_ended(world: JobsWorld, name: str) -> None:
    if world.process_by_name[name].alive or _is_gone(world, name):
        return
    if name in ENTRIES:
        world.start_entry(name)
    else:
        world.start_agent(name)


def _is_gone(world: JobsWorld, host: str) -> bool:
    """Return whether a host has ended for good."""
    return host in world.gone_hosts


def _kill(world: JobsWorld, name: str, for_s: float) -> None:
    world.kill(name)
    world.at(for_s, lambda: _start_if_ended(world, name))


def _freeze(world: JobsWorld, name: str, for_s: float) -> None:
    process = world.process_by_name[name]
    world.freeze(name, for_s)
    world.at(
        LINK_TIMEOUT_S,
        lambda: world.end_links(name, only_if=lambda: process.frozen),
    )


def _cut_off(world: JobsWorld, name: str, for_s: float) -> None:
    world.cut_off(name, for_s)
    # Items were lost, so a link that has not ended by now ends.
    world.at(for_s, lambda: world.end_links(name))


@begin.register
def _(trouble: ProcessKilled, world: JobsWorld) -> None:
    _kill(world, trouble.name, trouble.for_s)


@begin.register
def _(trouble: OwnerKilled, world: JobsWorld) -> None:
    _kill(world, world.owner() or ENTRIES[0], trouble.for_s)


@begin.register
def _(trouble: EntryLeaves, world: JobsWorld) -> None:
    world.leave(trouble.name)
    stopping = world.process_by_name[trouble.name]

    def end() -> None:
        if world.process_by_name[trouble.name] is stopping:
            world.kill(trouble.name)
            _start_if_ended(world, trouble.name)

    world.at(trouble.for_s, end)


@begin.register
def _(trouble: ProcessFrozen, world: JobsWorld) -> None:
    _freeze(world, trouble.name, trouble.for_s)


@begin.register
def _(trouble: OwnerFrozen, world: JobsWorld) -> None:
    _freeze(world, world.owner() or ENTRIES[0], trouble.for_s)


@begin.register
def _(trouble: OwnerCutOff, world: JobsWorld) -> None:
    _cut_off(world, world.owner() or ENTRIES[0], trouble.for_s)


@begin.register
def _(trouble: ServerCrashed, world: JobsWorld) -> None:
    executor = world.executor_by_host[trouble.host]
    if not executor.up:
        return
    executor.crash()

    def restart() -> None:
        if executor.up or _is_gone(world, trouble.host):
            return
        executor.restart(world.now, same_id=trouble.same_id)

    world.at(trouble.for_s, restart)


@begin.register
def _(trouble: HostGone, world: JobsWorld) -> None:
    world.gone_hosts.add(trouble.host)
    world.executor_by_host[trouble.host].crash()
    world.kill(trouble.host)


@begin.register
def _(trouble: ServerDrains, world: JobsWorld) -> None:
    executor = world.executor_by_host[trouble.host]
    executor.draining = True
    draining = executor.incarnation

    def end() -> None:
        if executor.up and executor.incarnation == draining:
            executor.crash()
            withdrawn = Withdrawn(server_id=executor.server_id)
            world.tell(world.process_by_name[trouble.host], JOB_AGENT, withdrawn)
            executor.restart(world.now)

    world.at(trouble.for_s, end)


@begin.register
def _(trouble: CutOff, world: JobsWorld) -> None:
    _cut_off(world, trouble.name, trouble.for_s)


@begin.register
def _(trouble: PairCut, world: JobsWorld) -> None:
    pair = frozenset((trouble.name, trouble.other))
    world.cut_pair(trouble.name, trouble.other)
    world.at(trouble.for_s, lambda: world.cut_pairs.discard(pair))


@begin.register
def _(trouble: LinkDropped, world: JobsWorld) -> None:
    world.end_link_at_one_end(
        trouble.host, at_agent=trouble.at_agent, after_s=trouble.for_s
    )


@begin.register
def _(trouble: LinkSilent, world: JobsWorld) -> None:
    agent = world.process_by_name[trouble.host].incarnation
    owner = world.last_linked_entry(agent).rpartition("-")[0]
    if not owner:
        return
    direction = (trouble.host, owner) if trouble.from_agent else (owner, trouble.host)
    world.silent_directions.add(direction)

    def end() -> None:
        world.end_links(trouble.host, owner)
        world.silent_directions.discard(direction)

    world.at(trouble.for_s, end)


@begin.register
def _(trouble: CallsLate, world: JobsWorld) -> None:
    probability_by_kind: dict[type[ExecutorCommand], float] = {
        StartRun: trouble.start,
        StopRun: trouble.stop,
        PaceRun: trouble.pace,
        PollRuns: trouble.poll,
    }
    late = LateCalls(
        draw=random.Random(trouble.seed), probability_by_kind=probability_by_kind
    )
    world.late_calls = late

    def end() -> None:
        if world.late_calls is late:
            world.late_calls = None

    world.at(trouble.for_s, end)


@begin.register
def _(trouble: StoreDown, world: JobsWorld) -> None:
    world.store_up = False
    world.at(trouble.for_s, lambda: setattr(world, "store_up", True))


@begin.register
def _(trouble: StoreSlow, world: JobsWorld) -> None:
    world.store_slowdown_factor = trouble.factor
    world.at(trouble.for_s, lambda: setattr(world, "store_slowdown_factor", 1.0))


@begin.register
def _(trouble: StoreAnswersLost, world: JobsWorld) -> None:
    name = "late_writes_s" if trouble.applied_after_s else "lose_answers"
    setattr(world, name, trouble.applied_after_s or True)
    world.at(trouble.for_s, lambda: setattr(world, name, 0.0))


@begin.register
def _(trouble: StoreReadsFail, world: JobsWorld) -> None:
    world.reads_fail = True
    world.at(trouble.for_s, lambda: setattr(world, "reads_fail", False))


@begin.register
def _(trouble: StoreCutOff, world: JobsWorld) -> None:
    world.cut_off_from_store.add(trouble.name)
    world.at(trouble.for_s, lambda: world.cut_off_from_store.discard(trouble.name))


@begin.register
def _(trouble: Evacuated, world: JobsWorld) -> None:
    world.evacuate(trouble.domain)
    world.at(trouble.for_s, lambda: world.evacuate(trouble.domain, withdraw=True))


@begin.register
def _(trouble: ListsLate, world: JobsWorld) -> None:
    world.list_delay_s = trouble.delay_s
    world.at(trouble.for_s, lambda: setattr(world, "list_delay_s", 0.0))


# The run and its judgement


def run_plan(plan: Plan) -> SeriesResult:
    """Run a plan and return the problems found after all troubles have ended."""
    is_calm = plan.max_restart_s is not None
    kill_s = KILL_S if is_calm else BOUNDS.kill_s
    world = JobsWorld(entries=len(ENTRIES), hosts=len(HOSTS), kill_s=kill_s)
    world.machines_up = plan.lists_machines
    world.run(STARTUP_S)
    began_at = world.now
    watch = RestartWatch(world)
    for planned in plan.jobs:
        world.at(planned.at_s, lambda planned=planned: _submit(world, planned))  # type: ignore[misc]
        if planned.cancelled_at_s:
            world.at(
                planned.cancelled_at_s,
                lambda planned=planned: _cancel(world, planned),  # type: ignore[misc]
            )
    for trouble in plan.troubles:
        world.at(trouble.at_s, lambda trouble=trouble: begin(trouble, world))  # type: ignore[misc]
    # Actions at the very end are included.
    world.run(plan.ends_at_s + 0.001)
    ended_at = world.now
    problems: list[str] = []
    accepted = [
        planned
        for planned in plan.jobs
        if _is_stored(world, planned, "job")
        and not _is_stored(world, planned, "cancel")
        and not planned.cancelled_at_s
    ]
    deadlines = sorted((_bound_s(planned), planned.number) for planned in accepted)
    by_number = {planned.number: planned for planned in accepted}
    for bound_s, number in deadlines:
        planned = by_number[number]
        world.run_until(
            lambda planned=planned: _is_served(world, planned),  # type: ignore[misc]
            max(0.0, ended_at + bound_s - world.now),
        )
        if not _is_served(world, planned):
            after_s = world.now - ended_at
            problems.append(
                f"{_job_id(planned)} is {_describe(world, planned)} "
                f"{after_s:.1f} s after the troubles, which began at {began_at:.1f}"
            )
    if plan.max_restart_s is not None:
        world.run(CALM_WATCH_S)
        problems += _late_restarts(watch, plan.max_restart_s)
    return SeriesResult(world=world, problems=(*world.violations, *problems))


def _late_restarts(watch: RestartWatch, max_restart_s: float) -> list[str]:
    return [
        f"{task_id} did not run for {gap_s:.1f} s"
        for task_id, gap_s in sorted(watch.longest_gap_by_task.items())
        if gap_s > max_restart_s
    ]


def _bound_s(planned: JobPlan) -> float:
    if planned.lasting:
        return LASTING_RESTART_S + LASTING_WATCH_S + BOUNDS.agent_expiry_s
    return FINISH_S + planned.chain_s


def _job_id(planned: JobPlan) -> str:
    return f"{planned.number:016x}"


def _is_stored(world: JobsWorld, planned: JobPlan, what: str) -> bool:
    name = f"{_job_id(planned)}.{what}"
    return any(key.key == name for key in world.store.row_by_key)


def _is_served(world: JobsWorld, planned: JobPlan) -> bool:
    if planned.lasting:
        return len(_running(world, planned)) == planned.steps[0].count
    return world.state_of(_job_id(planned)) is JobState.COMPLETED


def _running(world: JobsWorld, planned: JobPlan) -> list[str]:
    return [
        task_id
        for task_id in running_tasks(world)
        if task_id.startswith(_job_id(planned))
    ]


def _describe(world: JobsWorld, planned: JobPlan) -> str:
    state = world.state_of(_job_id(planned))
    return f"{state} with {len(_running(world, planned))} running"


def _submit(world: JobsWorld, planned: JobPlan) -> None:
    world.submit(
        planned.number, *planned.steps, payload=planned.payload, entry=planned.entry
    )


def _cancel(world: JobsWorld, planned: JobPlan) -> None:
    call = CancelCall(
        call_id=f"cancel-{planned.number}",
        authority=QUEUE.authority,
        path=f"{QUEUE.path_prefix}{_job_id(planned)}",
        within_s=3.0,
        received_at_s=world.now,
    )
    world.tell(world.process_by_name[planned.entry], "intake", call)


# Many seeds by hand


def shrink(plan: Plan) -> Plan:
    """Drop troubles, then jobs, for as long as the plan still fails."""
    shrunk = True
    while shrunk:
        shrunk = False
        for smaller in _smaller(plan):
            if run_plan(smaller).problems:
                plan, shrunk = smaller, True
                break
    return plan


def _smaller(plan: Plan) -> list[Plan]:
    fewer_troubles = [
        replace(plan, troubles=plan.troubles[:at] + plan.troubles[at + 1 :])
        for at in range(len(plan.troubles))
    ]
    fewer_jobs = [
        replace(plan, jobs=plan.jobs[:at] + plan.jobs[at + 1 :])
        for at in range(len(plan.jobs))
    ]
    return fewer_troubles + fewer_jobs


def main() -> int:
    """Run the seeds of the command line, and print the shrunk plans that fail."""
    parser = argparse.ArgumentParser(description="Run random series of troubles.")
    parser.add_argument("--seeds", required=True, metavar="A-B")
    parser.add_argument("--calm", action="store_true")
    parser.add_argument("--no-shrink", action="store_true")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = 0
    seeds = range(int(first), int(last or first) + 1)
    for seed in seeds:
        plan = draw_calm_plan(seed) if options.calm else draw_plan(seed)
        problems = run_plan(plan).problems
        if not problems:
            continue
        failed += 1
        print(f"seed {seed}: {'; '.join(problems[:3])}", flush=True)
        if not options.no_shrink:
            small = shrink(plan)
            print(f"  ends at {small.ends_at_s:.2f}: {run_plan(small).problems[:3]}")
            for entry in (*small.jobs, *small.troubles):
                print(f"    {entry}", flush=True)
    print(f"{len(seeds)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
