"""Tests of how long an unreachable host is waited for, and what keeps its runs.

While the platform's list of machines cannot be read, only the end of the last lease
shows that the runs of a silent host have ended. A shorter wait must not end runs of a
host that comes back.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from itertools import pairwise

import testtools

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.bounds import MAX_CLOCK_DRIFT_FRACTION
from bulrushpulley.entities.jobs.runs import RunEnd, RunOrder
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    DialAgent,
    Owning,
    SchedulerTables,
)
from bulrushpulley.entities.step import Command
from bulrushpulley.roles.job_links import JOB_LINK_HELLO_TIMEOUT_S
from bulrushpulley.systems.scheduling import agents, edits, lease_expiry
from standins.executor_core import FakeExecutor
from test.jobs_world import JobsWorld, step

HOST = "z0-0"
LONG = "80.0"
TASKS = 9
KILL_S = 0.3
# A task that lasts counts as lost 12 s after the loss of its host.
MAX_UNSERVED_S = 11.5
# An agent makes contact each 0.8 s.
PHASES_S = (0.0, 0.2, 0.4, 0.6)


class UnreachableHostTest(testtools.TestCase):
    def world_with_tasks(self, phase_s: float, clock_rate: float = 1.0) -> JobsWorld:
        """Return a site with nine lasting tasks and without lists of machines."""
        world = JobsWorld(entries=3, hosts=5)
        world.executor_by_host[HOST].clock_rate = clock_rate
        world.machines_up = False
        world.failed_dial_s = JOB_LINK_HELLO_TIMEOUT_S
        world.run(3.0)
        world.submit(1, step(TASKS, lasting=True), payload=LONG)
        world.run(2.0 + phase_s)
        self.assertEqual(TASKS, world.starts)
        self.assertNotEqual({}, world.executor_by_host[HOST].run_by_key)
        return world

    def extra_starts(self, begin: Callable[[JobsWorld], None]) -> list[int]:
        """Return how many runs were started again, for each phase of the contacts."""
        extra: list[int] = []
        for phase_s in PHASES_S:
            world = self.world_with_tasks(phase_s)
            begin(world)
            world.run(20.0)
            self.assertEqual([], world.violations)
            extra.append(world.starts - TASKS)
        return extra


class LostTest(UnreachableHostTest):
    def test_tasks_of_a_lost_host_run_again_before_they_count_as_lost(self) -> None:
        for phase_s in PHASES_S:
            world = self.world_with_tasks(phase_s)
            lost_at = world.now
            world.executor_by_host[HOST].crash()
            world.kill(HOST)
            world.run_until(partial(_all_running, world), 30.0)
            self.assertLess(world.now - lost_at, MAX_UNSERVED_S)
            self.assertEqual([], world.violations)


class ReadoptedTest(UnreachableHostTest):
    def test_a_silent_agent_that_is_adopted_again_is_not_waited_for_longer(
        self,
    ) -> None:
        # It is adopted each few seconds while its link is open, so its tasks would be
        # held for good.
        world = self.world_with_tasks(0.0)
        owner = world.process_by_name[world.owner()]
        tables: SchedulerTables = owner.instance_by_role[SCHEDULER].tables
        owning = tables.leadership
        assert isinstance(owning, Owning)
        host = tables.hosts.by_key[HOST]
        ends_at = lease_expiry.leases_expired_at(tables, owning, host)
        due = edits.put_host(tables, replace(host, announced_epoch=0))
        again = agents.adopt(due, world.now + 10.0).tables.hosts.by_key[HOST]
        self.assertEqual(world.now + 10.0, again.announced_at)
        self.assertEqual(ends_at, lease_expiry.leases_expired_at(tables, owning, again))


class KeptRunsTest(UnreachableHostTest):
    """Troubles that end before the wait is over, and cost no run."""

    def test_a_host_that_is_cut_off(self) -> None:
        for cut_s in (5.5, 6.5, 7.5):
            extra = self.extra_starts(partial(_cut_off, cut_s))
            self.assertEqual([0] * len(PHASES_S), extra, f"{cut_s} s")

    def test_a_host_that_is_cut_off_for_eight_seconds(self) -> None:
        # It is linked again within a second, before its leases end.
        extra = self.extra_starts(lambda world: world.cut_off(HOST, 8.0))
        self.assertEqual([0] * len(PHASES_S), extra)

    def test_a_silent_host_with_tasks_is_dialled_often(self) -> None:
        # Each second without a link is one less until its leases end.
        world = self.world_with_tasks(0.0)
        world.failed_dial_s = 0.5
        dialled_at: list[float] = []

        def note(command: Command) -> None:
            if isinstance(command, DialAgent):
                dialled_at.append(world.now)

        world.hook = note
        world.cut_off(HOST, 9.0)
        world.run(9.0)
        pauses = [later - earlier for earlier, later in pairwise(dialled_at)]
        self.assertLess(max(pauses), 1.2)
        self.assertGreater(min(pauses), 0.5)

    def test_an_agent_that_stands_still(self) -> None:
        for frozen_s in (2.0, 3.0, 4.0):
            extra = self.extra_starts(partial(_freeze, frozen_s))
            self.assertEqual([0] * len(PHASES_S), extra, f"{frozen_s} s")

    def test_a_host_that_is_cut_off_while_the_shard_changes_hands(self) -> None:
        def begin(world: JobsWorld) -> None:
            world.cut_off(HOST, 5.5)
            world.at(1.0, lambda: world.kill(world.owner()))

        self.assertEqual([0] * len(PHASES_S), self.extra_starts(begin))

    def test_a_store_that_does_not_answer(self) -> None:
        def begin(world: JobsWorld) -> None:
            world.cut_off_from_store.update(("entry-0", "entry-1", "entry-2"))
            world.at(8.0, world.cut_off_from_store.clear)

        self.assertEqual([0] * len(PHASES_S), self.extra_starts(begin))

    def test_a_slow_store(self) -> None:
        def end(world: JobsWorld) -> None:
            world.store_slowdown_factor = 1.0

        def begin(world: JobsWorld) -> None:
            world.store_slowdown_factor = 100.0
            world.at(5.0, lambda: end(world))

        self.assertEqual([0] * len(PHASES_S), self.extra_starts(begin))


class LastLeaseTest(UnreachableHostTest):
    """The last lease has ended, with the time to end runs, before they run elsewhere.

    Otherwise a task runs twice at once (TWICE).
    """

    def assert_ended_before_started_elsewhere(
        self, begin: Callable[[JobsWorld], None]
    ) -> None:
        """Assert the order of ends and starts with the slowest clock allowed."""
        for phase_s in PHASES_S:
            world = self.world_with_tasks(phase_s, 1.0 - MAX_CLOCK_DRIFT_FRACTION)
            times = _note_times(world)
            begin(world)
            world.run(30.0)
            self.assertEqual([], world.violations)
            lapsed_at = [at for at, kind, host in times if (kind, host) == END_OF_LOST]
            started_at = [at for at, kind, _ in times if kind == "start"]
            self.assertNotEqual([], lapsed_at)
            self.assertGreater(min(started_at), max(lapsed_at) + KILL_S)

    def test_a_host_that_is_cut_off_for_good(self) -> None:
        self.assert_ended_before_started_elsewhere(
            lambda world: world.cut_off(HOST, 60.0)
        )

    def test_a_host_that_is_cut_off_while_its_agent_stands_still(self) -> None:
        # What the agent does in between must not prolong its leases.
        def begin(world: JobsWorld) -> None:
            world.cut_off(HOST, 60.0)
            for after_s in (0.5, 4.0, 7.5):
                world.at(after_s, lambda: world.freeze(HOST, 2.9))

        self.assert_ended_before_started_elsewhere(begin)

    def test_a_host_that_is_cut_off_while_the_shard_changes_hands(self) -> None:
        def begin(world: JobsWorld) -> None:
            world.cut_off(HOST, 60.0)
            for after_s in (1.0, 5.0):
                world.at(after_s, lambda: world.restart(world.owner()))

        self.assert_ended_before_started_elsewhere(begin)


END_OF_LOST = ("end", HOST)


def _note_times(world: JobsWorld) -> list[tuple[float, str, str]]:
    """Return a list that gets the time, kind and host of each start and end."""
    times: list[tuple[float, str, str]] = []

    def note_on(executor: FakeExecutor) -> None:
        listener = executor.listener

        def note(kind: str, server: FakeExecutor, run: RunOrder | RunEnd) -> None:
            times.append((world.now, kind, server.host))
            listener(kind, server, run)

        executor.listener = note

    for executor in world.executor_by_host.values():
        note_on(executor)
    return times


def _cut_off(duration_s: float, world: JobsWorld) -> None:
    world.cut_off(HOST, duration_s)


def _freeze(duration_s: float, world: JobsWorld) -> None:
    world.freeze(HOST, duration_s)


def _all_running(world: JobsWorld) -> bool:
    executors = world.executor_by_host.values()
    return sum(len(server.run_by_key) for server in executors if server.up) == TASKS
