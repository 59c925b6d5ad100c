"""Tests of what the platform's list of machines says about silent hosts.

A run that counts as lost is started elsewhere, so a list that is read too freely would
make tasks run twice (TWICE).
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence
from dataclasses import replace

import testtools

from bulrushpulley.entities.jobs.machines import (
    ListMachines,
    MachinesListed,
)
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER, SchedulerTables
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command
from bulrushpulley.systems.scheduling import machine_list
from test.jobs_machines import FakeMachines
from test.jobs_restarts import running_tasks
from test.jobs_world import JobsWorld, step

HOST = "z0-0"
LONG = "60.0"
# Longer than it takes to ask for the list, shorter than the leases last.
ASKED_S = 4.0


class SilentHostTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=2, hosts=4)
        self.requested_at: list[float] = []
        self.world.hook = self._note_request
        self.world.run(3.0)
        self.world.submit(1, step(9), payload=LONG)
        self.world.run(2.0)

    def _note_request(self, command: Command) -> None:
        if isinstance(command, ListMachines):
            self.requested_at.append(self.world.now)

    def lose_host(self) -> None:
        """Lose a host for good."""
        self.world.executor_by_host[HOST].crash()
        self.world.kill(HOST)

    def kinds(self) -> set[str]:
        """Return the kinds of all log lines so far."""
        return {decision.kind for decision in self.world.decisions}

    def change_list(self, change: Callable[[MachinesListed], MachinesListed]) -> None:
        """Change each list before it is returned."""
        listed = FakeMachines.listed

        def changed(
            machines: FakeMachines,
            server_by_host: dict[str, str],
            now: float,
            *,
            requested_at: float,
        ) -> MachinesListed:
            return change(
                listed(machines, server_by_host, now, requested_at=requested_at)
            )

        self.patch(FakeMachines, "listed", changed)

    def test_the_list_is_not_read_while_all_hosts_make_contact(self) -> None:
        self.world.run(20.0)
        self.assertEqual([], self.requested_at)

    def test_the_list_is_read_once_a_second_while_a_host_is_silent(self) -> None:
        # The platform limits the readings of all processes together.
        self.world.cut_off(HOST, 6.0)
        self.world.run(10.0)
        intervals = [
            later - earlier for earlier, later in itertools.pairwise(self.requested_at)
        ]
        self.assertIn(len(intervals), range(3, 10))
        self.assertGreaterEqual(min(intervals), machine_list.MACHINE_LIST_INTERVAL_S)

    def test_a_host_that_is_cut_off_keeps_its_tasks(self) -> None:
        self.world.cut_off(HOST, 6.0)
        self.world.run(10.0)
        self.assertEqual((9, []), (self.world.starts, self.world.violations))
        listed = [line for line in self.world.decisions if line.kind == "host.listed"]
        self.assertEqual([HOST], [line.subject for line in listed])

    def test_a_server_that_succeeds_a_lost_one_ends_the_runs_of_that_one(self) -> None:
        # The agent is cut off, so only the list shows the next incarnation.
        lost = len(self.world.executor_by_host[HOST].run_by_key)
        self.world.cut_off(HOST, 60.0)
        self.world.executor_by_host[HOST].crash()
        self.world.executor_by_host[HOST].restart(self.world.now)
        self.world.run(ASKED_S)
        self.assertEqual((9 + lost, []), (self.world.starts, self.world.violations))

    def test_a_server_of_the_same_id_is_taken_for_the_lost_one(self) -> None:
        # The list does not tell its incarnations apart, so the leases decide.
        self.world.cut_off(HOST, 60.0)
        self.world.executor_by_host[HOST].crash()
        self.world.executor_by_host[HOST].restart(self.world.now, same_id=True)
        self.world.run(ASKED_S)
        self.assertNotIn("host.unlisted", self.kinds())

    def test_a_list_that_may_name_more_servers_ends_no_run(self) -> None:
        self.change_list(lambda listed: replace(listed, running_server_ids=None))
        self.lose_host()
        self.world.run(ASKED_S)
        self.assertNotIn("host.unlisted", self.kinds())

    def test_a_list_without_machines_ends_no_run(self) -> None:
        self.change_list(lambda listed: replace(listed, machines=()))
        self.lose_host()
        self.world.run(ASKED_S)
        self.assertNotIn("host.unlisted", self.kinds())
        unlisted = [
            line for line in self.world.decisions if line.kind == "machines.unlisted"
        ]
        self.assertEqual(1, len(unlisted))

    def test_a_list_of_other_servers_ends_no_run(self) -> None:
        other = frozenset({"i-other"})
        self.change_list(lambda listed: replace(listed, running_server_ids=other))
        self.world.cut_off(HOST, 6.0)
        self.world.run(10.0)
        self.assertEqual((9, []), (self.world.starts, self.world.violations))

    def _tables_of_owner(self) -> SchedulerTables:
        owner = self.world.process_by_name[self.world.owner()]
        tables: SchedulerTables = owner.instance_by_role[SCHEDULER].tables
        return tables

    def _answer(
        self, tables: SchedulerTables, *, requested_at: float, now: float
    ) -> Sequence[Command]:
        """Return the commands after a list, which names the servers that are up."""
        server_by_host = {
            host: executor.server_id
            for host, executor in self.world.executor_by_host.items()
            if executor.up
        }
        listed = self.world.machines.listed(
            server_by_host, self.world.now, requested_at=requested_at
        )
        return machine_list.handle_machines_listed(listed, tables, now).commands

    def _asked_about_lost_host(
        self, *, asked: bool = True, was_missing: bool = True
    ) -> SchedulerTables:
        """Return the owner's tables while it waits for a list, sent now."""
        life = self._tables_of_owner().hosts.by_key[HOST].life
        self.lose_host()
        self.world.run(0.1)
        tables = self._tables_of_owner()
        machines = replace(
            tables.machines,
            listing=True,
            requested_at=self.world.now,
            asked_incarnations=frozenset({life} if asked else ()),
            missing_incarnations=frozenset({life} if was_missing else ()),
        )
        return replace(tables, machines=machines)

    def test_a_host_that_two_lists_do_not_name_is_lost(self) -> None:
        tables, now = self._asked_about_lost_host(), self.world.now
        commands = self._answer(tables, requested_at=now, now=now + ASKED_S)
        kinds = [each.kind for each in commands if isinstance(each, Decision)]
        self.assertIn("host.unlisted", kinds)

    def test_one_list_that_does_not_name_a_host_ends_no_run(self) -> None:
        # A machine may be left out of a list that changes between its pages.
        tables = self._asked_about_lost_host(was_missing=False)
        now = self.world.now
        commands = self._answer(tables, requested_at=now, now=now + ASKED_S)
        self.assertEqual([], list(commands))

    def test_a_server_that_was_not_asked_about_is_not_judged(self) -> None:
        # It may have started after the request, and then no list names it.
        tables = self._asked_about_lost_host(asked=False)
        now = self.world.now
        commands = self._answer(tables, requested_at=now, now=now + ASKED_S)
        self.assertEqual([], list(commands))

    def test_the_answer_to_an_earlier_request_is_ignored(self) -> None:
        # It may come in a later tenure of the same process.
        tables, now = self._asked_about_lost_host(), self.world.now
        commands = self._answer(tables, requested_at=now - 1.0, now=now + ASKED_S)
        self.assertEqual([], list(commands))


class OldListTest(testtools.TestCase):
    """A list that is old when its owner reads it must not make a task run twice.

    The owner stands still between request and answer, or has lost the store, while the
    host comes back, its server is reborn, or another entry takes the shard over.
    """

    def start_world(self) -> JobsWorld:
        """Start a site whose lists are returned late."""
        world = JobsWorld(entries=2, hosts=3)
        world.run(2.0)
        world.submit(1, step(6), payload=LONG)
        world.run(2.0)
        self.assertNotEqual({}, world.executor_by_host[HOST].run_by_key)
        world.list_delay_s = 1.2
        return world

    def freeze_owner_at_request(self, world: JobsWorld, for_s: float) -> list[str]:
        """Suspend the owner when it requests the first list; return whom, later."""
        frozen: list[str] = []

        def freeze(command: Command) -> None:
            if isinstance(command, ListMachines) and not frozen:
                frozen.append(world.owner())
                world.at(0.001, lambda: world.freeze(frozen[0], for_s))

        world.hook = freeze
        return frozen

    def end_server(self, world: JobsWorld, *, same_id: bool) -> None:
        """Let the server of a host out of reach crash and be reborn 2 s later."""
        executor = world.executor_by_host[HOST]
        world.cut_off(HOST, 5.0)
        executor.crash()
        world.at(2.0, lambda: executor.restart(world.now, same_id=same_id))

    def troubles(self) -> list[Callable[[JobsWorld], None]]:
        """Return what may happen to the host."""
        return [
            lambda world: world.cut_off(HOST, 4.0),
            lambda world: world.freeze(HOST, 4.0),
            lambda world: self.end_server(world, same_id=False),
            lambda world: self.end_server(world, same_id=True),
        ]

    def assert_each_runs_once(self, world: JobsWorld) -> None:
        """Assert that all tasks run once after the trouble, and never ran twice."""
        world.run(25.0)
        self.assertEqual([], world.violations)
        self.assertEqual(6, len(set(running_tasks(world))))

    def test_an_owner_that_stands_still_between_request_and_answer(self) -> None:
        for begin, for_s in itertools.product(self.troubles(), (1.0, 2.0, 6.0)):
            world = self.start_world()
            frozen = self.freeze_owner_at_request(world, for_s)
            begin(world)
            self.assert_each_runs_once(world)
            self.assertEqual(1, len(frozen))

    def test_an_owner_without_the_store_that_still_reads_the_list(self) -> None:
        for begin in self.troubles():
            world = self.start_world()
            world.cut_off_from_store.add(world.owner())
            begin(world)
            self.assert_each_runs_once(world)
