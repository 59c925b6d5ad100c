"""Property tests of what owner, agents and backend servers count as running.

A run that one of them counts and another does not takes capacity that nobody uses, or
lets a host look empty that refuses starts for want of room; a run that was ordered and
is neither reported nor refused makes its task wait without end (LOST).
"""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch

import testtools
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from bulrushpulley.entities.jobs.bounds import Bounds
from bulrushpulley.entities.jobs.job_agent_tables import (
    JOB_AGENT,
    JobAgentTables,
    RunPhase,
)
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER, SchedulerTables
from bulrushpulley.entities.jobs.task import HOLDING_STATES
from bulrushpulley.entities.resources import NO_RESOURCES, Resources
from test.jobs_refusals import (
    CarryOutLate,
    DenyStarts,
    LoseListsAtTimes,
    LoseStarts,
    RefuseStarts,
    Trouble,
    TroubledExecutor,
)
from test.jobs_world import JobsWorld, step

BOUNDS = Bounds(kill_s=0.3)
# The runs of a host may have to be waited for, and then start again.
SETTLE_S = BOUNDS.agent_expiry_s + 4.0
# Lasting and short tasks together always find room on two of three hosts.
MAX_LASTING_TASKS = 4
SHORT = "1.5"
LONG = "200.0"


@dataclass(frozen=True, kw_only=True, slots=True)
class Action:
    """Base class of what happens on the site; `host` is the number of a host."""

    host: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Submit(Action):
    """A job is submitted."""

    tasks: int
    lasting: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class BeginTrouble(Action):
    """Calls to a backend server go wrong, or are sound again."""

    trouble: Trouble


@dataclass(frozen=True, kw_only=True, slots=True)
class LimitListedEnds(Action):
    """A backend server lists few ends at a time."""

    limit: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RestartAgent(Action):
    """An agent ends and starts again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DropLink(Action):
    """The link between an agent and the owner ends."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ReplaceOwner(Action):
    """The owner ends and starts again later than another one takes over."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Drain(Action):
    """A backend server drains, and ends and starts again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BeginNextLife(Action):
    """A backend server crashes and starts again."""


class Site:
    """A site of three hosts whose backend servers may be in trouble."""

    def __init__(self) -> None:
        self.world = JobsWorld(hosts=3)
        self.hosts = sorted(self.world.executor_by_host)
        self.servers = [
            TroubledExecutor(world=self.world, host=host) for host in self.hosts
        ]
        self.lasting_tasks = 0
        self.jobs = 0
        self.world.run(2.0)

    def heal(self) -> None:
        """End all troubles."""
        for server in self.servers:
            server.trouble = Trouble()
            server.executor.max_listed_ends = 500
        self.world.cut_pairs.clear()

    def owner_tables(self) -> SchedulerTables | None:
        """Return the tables of the owner, if there is one."""
        owner = self.world.owner()
        if not owner:
            return None
        process = self.world.process_by_name[owner]
        tables: SchedulerTables = process.instance_by_role[SCHEDULER].tables
        return tables

    def agent_tables(self, host: str) -> JobAgentTables:
        """Return the tables of a host's agent."""
        process = self.world.process_by_name[host]
        tables: JobAgentTables = process.instance_by_role[JOB_AGENT].tables
        return tables

    def disagreements(self) -> list[str]:
        """Return in what owner, agents and backend servers differ."""
        tables = self.owner_tables()
        if tables is None:
            return ["there is no owner"]
        found: list[str] = []
        for server, name in zip(self.servers, self.hosts, strict=True):
            owner_keys = {
                f"{task.task_id}#{task.run}"
                for task in tables.tasks.rows()
                if task.host == name and task.state in HOLDING_STATES
            }
            agent_keys = {
                f"{run.ref.task_id}#{run.ref.run}"
                for run in self.agent_tables(name).runs.rows()
            }
            server_keys = {
                f"{run.order.task_id}#{run.order.run}"
                for run in server.executor.run_by_key.values()
            }
            if not owner_keys == agent_keys == server_keys:
                found.append(f"{name}: {owner_keys} {agent_keys} {server_keys}")
            host = tables.hosts.get(name)
            counted = (
                host.committed if host else NO_RESOURCES,
                used_resources(self.agent_tables(name)),
                server.executor.committed,
            )
            if len(set(counted)) > 1:
                found.append(f"{name}: {counted}")
        waiting = [
            f"{task.task_id} is {task.state.value}"
            for task in tables.tasks.rows()
            if task.state.value not in ("running", "done")
        ]
        return found + waiting


def used_resources(tables: JobAgentTables) -> Resources:
    """Return what an agent counts as in use."""
    used = NO_RESOURCES
    for run in tables.runs.rows():
        if run.phase in (RunPhase.STARTING, RunPhase.RUNNING):
            used = used.plus(run.committed)
    return used


@singledispatch
def act(action: Action, site: Site) -> None:
    """Let an action happen."""
    raise NotImplementedError(type(action).__name__)


@act.register
def _(action: Submit, site: Site) -> None:
    tasks = action.tasks
    if action.lasting:
        tasks = min(tasks, MAX_LASTING_TASKS - site.lasting_tasks)
        if tasks <= 0:
            return
        site.lasting_tasks += tasks
    site.jobs += 1
    site.world.submit(
        site.jobs,
        step(tasks, lasting=action.lasting),
        payload=LONG if action.lasting else SHORT,
        entry=site.world.owner() or "entry-0",
    )


@act.register
def _(action: BeginTrouble, site: Site) -> None:
    site.servers[action.host].trouble = action.trouble


@act.register
def _(action: LimitListedEnds, site: Site) -> None:
    site.servers[action.host].executor.max_listed_ends = action.limit


@act.register
def _(action: RestartAgent, site: Site) -> None:
    name = site.hosts[action.host]
    if site.world.process_by_name[name].alive:
        site.world.restart(name)


@act.register
def _(action: DropLink, site: Site) -> None:
    owner = site.world.owner()
    if owner:
        site.world.cut_pair(site.hosts[action.host], owner)
        site.world.at(0.7, site.world.cut_pairs.clear)


@act.register
def _(action: ReplaceOwner, site: Site) -> None:
    owner = site.world.owner()
    if owner:
        site.world.kill(owner)
        site.world.at(4.0, lambda: site.world.start_entry(owner))


@act.register
def _(action: Drain, site: Site) -> None:
    executor = site.servers[action.host].executor
    executor.draining = True
    site.world.at(3.0, lambda: _begin_next_life(site, action.host))


@act.register
def _(action: BeginNextLife, site: Site) -> None:
    _begin_next_life(site, action.host)


def _begin_next_life(site: Site, host: int) -> None:
    executor = site.servers[host].executor
    if executor.up:
        executor.crash()
        site.world.at(0.5, lambda: executor.restart(site.world.now))


TROUBLES = st.one_of(
    st.sampled_from(["room", "old", "late", "fence", "ticket", "status 400"]).map(
        lambda reason: DenyStarts(reason=reason)
    ),
    st.just(RefuseStarts()),
    st.just(LoseStarts()),
    st.builds(CarryOutLate, delay_s=st.sampled_from([0.0, 0.3, 1.0, 2.5, 6.0])),
    st.just(LoseListsAtTimes(period_s=1.6, fails_s=1.1)),
    st.just(Trouble()),
)
HOSTS = st.integers(0, 2)
SUBMISSIONS = st.builds(
    Submit, host=st.just(0), tasks=st.integers(1, 3), lasting=st.booleans()
)
FAULTS = st.one_of(
    st.builds(BeginTrouble, host=HOSTS, trouble=TROUBLES),
    st.builds(LimitListedEnds, host=HOSTS, limit=st.integers(1, 3)),
    st.builds(RestartAgent, host=HOSTS),
    st.builds(DropLink, host=HOSTS),
    st.builds(ReplaceOwner, host=st.just(0)),
    st.builds(Drain, host=HOSTS),
    st.builds(BeginNextLife, host=HOSTS),
)
ACTIONS = st.one_of(SUBMISSIONS, FAULTS)
DELAYS_S = st.sampled_from([0.0, 0.02, 0.1, 0.4, 1.0, 2.0])
SEQUENCES = st.lists(st.tuples(DELAYS_S, ACTIONS), min_size=10, max_size=20)
FIRST_JOB = Submit(host=0, tasks=2, lasting=True)


def play(actions: list[tuple[float, Action]]) -> tuple[Site, bool, float]:
    """Play actions, end all troubles; return whether and how soon all agree."""
    site = Site()
    act(FIRST_JOB, site)
    for delay_s, action in actions:
        act(action, site)
        site.world.run(delay_s)
    # Restarts and returns that were scheduled belong to the troubles.
    site.world.run(4.5)
    site.heal()
    healed_at = site.world.now
    agrees = site.world.run_until(lambda: not site.disagreements(), SETTLE_S)
    return site, agrees, site.world.now - healed_at


class AgreementTest(testtools.TestCase):
    @settings(
        max_examples=40,
        deadline=None,
        derandomize=True,
        database=None,
        phases=(Phase.explicit, Phase.generate),
    )
    @given(actions=SEQUENCES)
    def test_all_agree_and_every_task_runs_once_troubles_are_over(
        self, actions: list[tuple[float, Action]]
    ) -> None:
        site, agrees, _ = play(actions)
        self.assertTrue(agrees, site.disagreements())
        self.assertEqual([], site.world.violations)
