"""Draws holds that follow one another, and measures for how long a job stands still.

The platform counts a job as LOST that has nothing running for 3 s although the turn of
a task has come, there is room for it twice and under half of the capacity is in use.
Each hold has a bound of its own, which says nothing of several in a row. Here two sound
hosts always have room for each task twice, while a drawn combination of holds keeps the
job from them. The longest span with nothing running is measured; next to an outside
trouble, only from `CALM_AFTER_S` after its end.

    python -m test.jobs_idle_clock --seeds 0-99
"""

from __future__ import annotations

import argparse
import contextlib
import random
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from functools import singledispatch
from typing import Any
from unittest import mock

from bulrushpulley.entities.interference import Harm, harm_key
from bulrushpulley.entities.jobs.advice import AdviceTerms, RequestAdvice
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.rows import JobState
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER, SchedulerTables
from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.jobs.task import Task
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Command
from bulrushpulley.systems.scheduling import edits, effects, placing, quarantine
from test.jobs_refusals import (
    DenyStarts,
    LoseStarts,
    RefuseStarts,
    Trouble,
    TroubledExecutor,
)
from test.jobs_world import QUEUE, JobsWorld, step

MAX_IDLE_S = 3.0
CALM_AFTER_S = 4.0
OBSERVED_S = 25.0
SAMPLE_INTERVAL_S = 0.02
HOST_COUNT = 8
HOSTS = tuple(f"z{number % 3}-{number}" for number in range(HOST_COUNT))
# They always have room, and are fuller than the others, which are tried first.
SOUND_HOSTS, OTHER_HOSTS = HOSTS[:2], HOSTS[2:]
SOUND_LABEL = "sound"
SERVING, FILLING = "oven", "curve"
TARGET_MS, HARMFUL_MS = 100.0, 60.0
FILLING_SIZE = Resources(processors_m=2_700, memory_mb=500)
SMALL = Resources(processors_m=500, memory_mb=100)
TINY = Resources(processors_m=1, memory_mb=1)
LARGE = Resources(processors_m=3_500, memory_mb=100)
LONG, SHORT = "600.0", "1.0"
JOB = 900
PASS_LIMIT = 40


@dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    """Base class for what may keep a job from hosts that have room for it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ExpectedHarm(Hold):
    """The tasks of the job fill, and are expected to do harm on each host."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FailuresElsewhere(Hold):
    """Runs of other jobs have failed on these hosts `after_s` after the submission."""

    hosts: tuple[str, ...]
    after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class StartsRefused(Hold):
    """These hosts, which are the emptiest, do not start what they are ordered to."""

    hosts: tuple[str, ...]
    trouble: Trouble


@dataclass(frozen=True, kw_only=True, slots=True)
class StartsRefusedForAll(Hold):
    """All hosts do not start anything for a while; an outside trouble."""

    trouble: Trouble
    lasts_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacementsWithdrawn(Hold):
    """The first orders of the job are not sent, as after a change of their hosts."""

    count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AdviceUnanswered(Hold):
    """The queue needs advice; the first calls for the job are not answered."""

    calls: int
    valid_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class AdviceWanted(Hold):
    """The queue needs advice, also for other steps, which fit nowhere."""

    others: int
    valid_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class PassesCutShort(Hold):
    """Many tasks of more urgent jobs are placed first, a few in each pass."""

    tasks: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerLost(Hold):
    """The owner is lost `after_s` after the submission; an outside trouble."""

    after_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class AgentsSilent(Hold):
    """What the agents of these hosts send is held up; an outside trouble."""

    hosts: tuple[str, ...]
    after_s: float
    lasts_s: float


OUTSIDE_TROUBLES = (StartsRefusedForAll, OwnerLost, AgentsSilent)


@dataclass(frozen=True, kw_only=True, slots=True)
class Combination:
    """Holds on one job of a step, or of two in a row."""

    holds: tuple[Hold, ...]
    tasks: int
    steps: int
    phase_s: float

    def describe(self) -> str:
        """Return the combination as text."""
        holds = ", ".join(str(hold) for hold in self.holds)
        return f"{self.steps} steps of {self.tasks}: {holds}"


@dataclass(kw_only=True, slots=True)
class Play:
    """One combination as it is played; it is calm from `calm_from` on."""

    combination: Combination
    world: JobsWorld
    patches: contextlib.ExitStack
    calm_from: float = 0.0
    terms: AdviceTerms | None = None
    servers: dict[str, TroubledExecutor] = field(default_factory=dict)

    @property
    def job_id(self) -> str:
        """The id of the job that is observed."""
        return f"{JOB:016x}"

    def tables(self) -> SchedulerTables:
        """Return the tables of the owner."""
        process = self.world.process_by_name[self.world.owner()]
        tables: SchedulerTables = process.instance_by_role[SCHEDULER].tables
        return tables

    def set_tables(self, tables: SchedulerTables) -> None:
        """Replace the tables of the owner."""
        process = self.world.process_by_name[self.world.owner()]
        process.instance_by_role[SCHEDULER].tables = tables

    def set_trouble(self, host: str, trouble: Trouble) -> None:
        """Have a backend server answer as it does in a trouble."""
        known = self.servers.get(host)
        server = known or TroubledExecutor(world=self.world, host=host)
        self.servers[host] = server
        server.trouble = trouble

    def end_trouble_at(self, at: float) -> None:
        """Judge nothing that is idle until the time after a trouble has passed."""
        self.calm_from = max(self.calm_from, at + CALM_AFTER_S)


@singledispatch
def begin(hold: Hold, play: Play) -> None:
    """Begin a hold right before the job is submitted; by default nothing changes."""


@begin.register
def _(hold: ExpectedHarm, play: Play) -> None:
    tables = play.tables()
    harm = Harm(
        service=SERVING,
        job=FILLING,
        estimate_ms=HARMFUL_MS,
        variance=0.1,
        at=play.world.now,
    )
    harms = tables.harms.put(harm_key(service=SERVING, job=FILLING), harm)
    targets = tables.target_by_image.set(SERVING, TARGET_MS)
    play.set_tables(replace(tables, harms=harms, target_by_image=targets))


@begin.register
def _(hold: FailuresElsewhere, play: Play) -> None:
    def fail() -> None:
        if not play.world.owner():
            return
        tables = play.tables()
        until = play.world.now + quarantine.QUARANTINE_DURATION_S
        for name in hold.hosts:
            host = tables.hosts.by_key[name]
            tables = edits.put_host(tables, replace(host, quarantined_until=until))
        play.set_tables(tables)

    play.world.at(hold.after_s, fail)


@begin.register
def _(hold: StartsRefused, play: Play) -> None:
    for name in hold.hosts:
        play.set_trouble(name, hold.trouble)


@begin.register
def _(hold: StartsRefusedForAll, play: Play) -> None:
    def end() -> None:
        for name in SOUND_HOSTS:
            play.set_trouble(name, Trouble())

    for name in SOUND_HOSTS:
        play.set_trouble(name, hold.trouble)
    play.world.at(hold.lasts_s, end)
    play.end_trouble_at(play.world.now + hold.lasts_s)


@begin.register
def _(hold: PlacementsWithdrawn, play: Play) -> None:
    left = [hold.count]
    known = effects.may_start

    def may_start(tables: SchedulerTables, host: Host, task: Task) -> bool:
        if task.job_id == play.job_id and left[0]:
            left[0] -= 1
            return False
        return known(tables, host, task)

    play.patches.enter_context(mock.patch.object(effects, "may_start", may_start))


@begin.register
def _(hold: AdviceUnanswered, play: Play) -> None:
    play.terms = AdviceTerms(decide_s=0.05, per_server_s=0.001, valid_s=hold.valid_s)
    play.world.unadvised_job_ids.add(play.job_id)
    calls: list[float] = []

    def count(command: Command) -> None:
        is_own = isinstance(command, RequestAdvice) and command.step_key.startswith(
            play.job_id
        )
        calls.extend([play.world.now] * is_own)
        if is_own and len(calls) > hold.calls:
            play.world.unadvised_job_ids.discard(play.job_id)

    play.world.hook = count


@begin.register
def _(hold: AdviceWanted, play: Play) -> None:
    play.terms = AdviceTerms(decide_s=0.05, per_server_s=0.001, valid_s=hold.valid_s)
    play.world.configure(replace(QUEUE, advice=play.terms))
    for number in range(100, 100 + hold.others):
        play.world.submit(number, step(1, size=LARGE, estimate_s=300.0), payload=LONG)
    play.world.run(2.0)


@begin.register
def _(hold: PassesCutShort, play: Play) -> None:
    play.patches.enter_context(
        mock.patch.object(placing, "MAX_PLACED_PER_PASS", PASS_LIMIT)
    )
    for number in range(2, 2 + hold.tasks // PASS_LIMIT):
        tasks = step(PASS_LIMIT, size=TINY, estimate_s=0.1)
        play.world.submit(number, tasks, payload=LONG)


@begin.register
def _(hold: OwnerLost, play: Play) -> None:
    def kill() -> None:
        if play.world.owner():
            play.world.kill(play.world.owner())

    play.world.at(hold.after_s, kill)
    play.end_trouble_at(play.world.now + hold.after_s)


@begin.register
def _(hold: AgentsSilent, play: Play) -> None:
    def silence() -> None:
        owner = play.world.owner()
        for name in hold.hosts:
            if owner:
                play.world.silence(name, owner, hold.lasts_s)

    play.world.at(hold.after_s, silence)
    play.end_trouble_at(play.world.now + hold.after_s + hold.lasts_s)


REFUSALS: tuple[Trouble, ...] = (
    DenyStarts(reason="room"),
    DenyStarts(reason="status 400"),
    DenyStarts(reason="ticket"),
    DenyStarts(reason="fence"),
    RefuseStarts(),
)
# A single start that has no answer, or is always late, is given up after 2.5 s, so it
# counts as an outside trouble.
OUTSIDE_REFUSALS: tuple[Trouble, ...] = (
    DenyStarts(reason="room"),
    DenyStarts(reason="late"),
    DenyStarts(reason="ticket"),
    DenyStarts(reason="fence"),
    RefuseStarts(),
    LoseStarts(),
)


def _draw_hosts(draw: random.Random, hosts: tuple[str, ...]) -> tuple[str, ...]:
    """Draw some hosts, at most half of all."""
    count = draw.randint(1, min(len(hosts), HOST_COUNT // 2))
    return tuple(sorted(draw.sample(hosts, count)))


def draw_combination(seed: int) -> Combination:
    """Draw two to four holds of different kinds, with one outside trouble at most."""
    draw = random.Random(seed)
    drawn: tuple[Hold, ...] = (
        ExpectedHarm(),
        FailuresElsewhere(
            hosts=(*SOUND_HOSTS, *_draw_hosts(draw, OTHER_HOSTS[:2])),
            after_s=draw.uniform(0.0, 2.0),
        ),
        StartsRefused(
            hosts=_draw_hosts(draw, OTHER_HOSTS), trouble=draw.choice(REFUSALS)
        ),
        PlacementsWithdrawn(count=draw.randint(1, 3)),
        AdviceUnanswered(
            calls=draw.randint(1, 2), valid_s=draw.choice((1.0, 4.0, 60.0))
        ),
        AdviceWanted(
            others=draw.choice((10, 30, 100)), valid_s=draw.choice((1.0, 4.0))
        ),
        PassesCutShort(tasks=draw.choice((80, 240, 400))),
        draw.choice(
            (
                OwnerLost(after_s=draw.uniform(0.0, 3.0)),
                AgentsSilent(
                    hosts=HOSTS,
                    after_s=draw.uniform(0.0, 2.0),
                    lasts_s=draw.uniform(0.5, 2.9),
                ),
                StartsRefusedForAll(
                    trouble=draw.choice(OUTSIDE_REFUSALS),
                    lasts_s=draw.uniform(0.5, 6.0),
                ),
            )
        ),
    )
    chosen = draw.sample(drawn, draw.randint(2, 4))
    if any(isinstance(hold, AdviceUnanswered) for hold in chosen):
        chosen = [hold for hold in chosen if not isinstance(hold, AdviceWanted)]
    return Combination(
        holds=tuple(hold for hold in drawn if hold in chosen),
        tasks=draw.choice((1, 1, 4)),
        steps=draw.randint(1, 2),
        phase_s=draw.uniform(0.0, 1.0),
    )


def _start_world(phase_s: float) -> JobsWorld:
    """Start a site with a serving task on each host, over a quarter full."""
    world = JobsWorld(entries=2, hosts=HOST_COUNT)
    for name in SOUND_HOSTS:
        world.executor_by_host[name].labels = (SOUND_LABEL, f"rack-{name}")
    world.run(3.0)
    serving = step(
        HOST_COUNT,
        lasting=True,
        image=SERVING,
        latency_target_ms=TARGET_MS,
        per_host_limit=1,
    )
    world.submit(0, serving, payload=LONG)
    held = step(
        len(SOUND_HOSTS),
        lasting=True,
        size=SMALL,
        needs_label=SOUND_LABEL,
        per_host_limit=1,
    )
    world.submit(1, held, payload=LONG)
    world.run(2.0 + phase_s)
    return world


def _steps(combination: Combination) -> tuple[StepSpec, ...]:
    more: dict[str, Any] = {"estimate_s": 30.0}
    if any(isinstance(hold, ExpectedHarm) for hold in combination.holds):
        more |= {"image": FILLING, "fills": True, "size": FILLING_SIZE}
    first = step(combination.tasks, **more)
    second = step(combination.tasks, after=(0,), **more)
    return (first, second)[: combination.steps]


def longest_idle_s(combination: Combination) -> float:
    """Play a combination, and return the longest span that may count as LOST."""
    with contextlib.ExitStack() as patches:
        world = _start_world(combination.phase_s)
        play = Play(combination=combination, world=world, patches=patches)
        for hold in combination.holds:
            begin(hold, play)
        if play.terms is not None:
            world.configure(replace(QUEUE, advice=play.terms))
            for executor in world.executor_by_host.values():
                executor.requires_ticket = True
        world.submit(JOB, *_steps(combination), payload=SHORT)
        return _observe(play)


def _observe(play: Play) -> float:
    world, longest_s = play.world, 0.0
    idle_since, until = world.now, world.now + OBSERVED_S
    while world.now < until and world.state_of(play.job_id) is not JobState.COMPLETED:
        world.run(SAMPLE_INTERVAL_S)
        if _is_running(world, play.job_id):
            idle_since = world.now
        judged_s = world.now - max(idle_since, play.calm_from)
        longest_s = max(longest_s, judged_s)
    if world.violations:
        raise AssertionError(f"{play.combination.describe()}: {world.violations[:3]}")
    return longest_s


def _is_running(world: JobsWorld, job_id: str) -> bool:
    return any(
        key.startswith(job_id)
        for executor in world.executor_by_host.values()
        for key in executor.run_by_key
    )


def _seeds(text: str) -> Iterator[int]:
    first, _, last = text.partition("-")
    yield from range(int(first), int(last or first) + 1)


def main() -> int:
    """Play the seeds of the command line, and print the worst of each combination."""
    parser = argparse.ArgumentParser(description="Play holds that follow one another.")
    parser.add_argument("--seeds", metavar="A-B", required=True)
    worst_by_kinds: dict[str, tuple[float, int]] = defaultdict(lambda: (0.0, 0))
    count, failed = 0, 0
    for seed in _seeds(parser.parse_args().seeds):
        combination = draw_combination(seed)
        idle_s = longest_idle_s(combination)
        count += 1
        if idle_s >= MAX_IDLE_S:
            failed += 1
            print(f"seed {seed}: {idle_s:.2f} s, {combination.describe()}", flush=True)
        kinds = " + ".join(type(hold).__name__ for hold in combination.holds)
        worst_by_kinds[kinds] = max(worst_by_kinds[kinds], (idle_s, seed))
    for kinds, (idle_s, seed) in sorted(
        worst_by_kinds.items(), key=lambda pair: -pair[1][0]
    ):
        print(f"{idle_s:6.2f} s, seed {seed}: {kinds}")
    print(f"{count} combinations, {failed} over {MAX_IDLE_S} s")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
