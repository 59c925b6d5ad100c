"""Tests of hosts that are lost or cut off while lists of machines are late or flawed.

A list that is believed too readily makes tasks run twice (TWICE), and one that is given
up too readily leaves the tasks of a lost host waiting for its leases (LOST).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import testtools

from bulrushpulley.entities.jobs.host import ServerState
from bulrushpulley.entities.jobs.machines import (
    ListMachines,
    ListMachinesFailed,
    MachinesListed,
)
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER, SchedulerTables
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.systems.scheduling import edits, lost_servers
from bulrushpulley.systems.scheduling.lost_servers import MAX_LIST_AGE_S
from test.jobs_machines import FakeMachines
from test.jobs_world import JobsWorld, Process, step

HOST = "z0-0"
LONG = "60.0"
MAX_ALONE_S = 8.0
# A job that has nothing running for this long counts as lost.
MAX_IDLE_S = 3.0


class SlowListWorld(JobsWorld):
    """A site whose lists of machines take `answer_delay_s` longer to arrive."""

    def __init__(self, *, entries: int, hosts: int) -> None:
        self.answer_delay_s = 0.0
        super().__init__(entries=entries, hosts=hosts)

    def tell(self, process: Process, role: str, event: Event) -> None:
        """Delay the lists of machines."""
        is_list = isinstance(event, (MachinesListed, ListMachinesFailed))
        if not is_list or not self.answer_delay_s:
            super().tell(process, role, event)
            return
        deliver = super().tell
        self.at(self.answer_delay_s, lambda: deliver(process, role, event))


class ListTest(testtools.TestCase):
    """A site on which each host runs lasting tasks."""

    tasks = 9

    def setUp(self) -> None:
        super().setUp()
        self.start_world()

    def start_world(self, *, hosts: int = 5) -> None:
        """Start a site on which lasting tasks run."""
        self.world = SlowListWorld(entries=2, hosts=hosts)
        self.requested_at: list[float] = []
        self.world.hook = self._note_request
        self.world.run(3.0)
        self.world.submit(1, step(self.tasks, lasting=True), payload=LONG)
        self.world.run(2.0)
        self.assertNotEqual({}, self.world.executor_by_host[HOST].run_by_key)

    def _note_request(self, command: Command) -> None:
        if isinstance(command, ListMachines):
            self.requested_at.append(self.world.now)

    def lose_host(self, name: str = HOST) -> None:
        """Lose a host for good."""
        self.world.executor_by_host[name].crash()
        self.world.kill(name)

    def all_running(self) -> bool:
        """Return whether all tasks run on servers that are up."""
        executors = self.world.executor_by_host.values()
        running = sum(len(each.run_by_key) for each in executors if each.up)
        return running == self.tasks

    def assert_running_soon(self) -> None:
        """Assert that all tasks run again in time."""
        self.assertTrue(self.world.run_until(self.all_running, MAX_ALONE_S))
        self.assertEqual([], self.world.violations)

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


class LateListTest(ListTest):
    """A list names what ran when it was requested, however late it arrives."""

    tasks = 18

    def test_a_server_that_started_after_the_request_keeps_its_runs(self) -> None:
        for cut_after_s in (1.0, 1.5, 2.0, 2.5):
            self.start_world()
            self.requested_at.clear()
            # Several slow pages, or an owner that stood still meanwhile.
            self.world.answer_delay_s = 5.0
            self.lose_host()
            self.assertTrue(self.world.run_until(lambda: bool(self.requested_at), 5.0))
            self.world.executor_by_host[HOST].restart(self.world.now)
            self.world.start_agent(HOST)
            self.world._announce(HOST)
            self.world.run(cut_after_s)
            self.world.cut_off(HOST, 5.0)
            self.world.run(8.0)
            self.assertEqual([], self.world.violations)


class OnePageTest(ListTest):
    """Lists in one page, which cannot change while they are read."""

    def setUp(self) -> None:
        super().setUp()
        self.world.machines.one_page = True

    # A second list is requested 1 s later, for which the tasks of a lost host waited.
    def test_one_list_ends_the_runs_of_a_lost_host(self) -> None:
        for phase in range(8):
            self.start_world()
            self.world.machines.one_page = True
            self.world.run(phase / 10)
            self.lose_host()
            lost_at = self.world.now
            self.assertTrue(self.world.run_until(self.all_running, MAX_ALONE_S))
            self.assertLess(self.world.now - lost_at, MAX_IDLE_S)
            self.assertEqual(1, len(self.requested_at))
            self.assertEqual([], self.world.violations)

    # The list may be older than the server, whose tasks would run twice.
    def test_one_list_ends_no_run_of_a_server_that_is_younger(self) -> None:
        owner = self.world.process_by_name[self.world.owner()]
        tables: SchedulerTables = owner.instance_by_role[SCHEDULER].tables
        now = self.world.now
        host = replace(tables.hosts.by_key[HOST], last_contact_at=now - MAX_ALONE_S)
        machines = replace(
            tables.machines, requested_at=now, asked_incarnations=frozenset({host.life})
        )
        tables = edits.put_host(replace(tables, machines=machines), host)
        others = frozenset(
            executor.server_id
            for name, executor in self.world.executor_by_host.items()
            if name != HOST
        )
        lines_by_age: dict[float, list[str]] = {}
        for age_s in (MAX_LIST_AGE_S - 0.1, MAX_LIST_AGE_S + 0.1):
            for task in tables.tasks.rows_where("host", HOST):
                tables = edits.put_task(tables, replace(task, since=now - age_s))
            step_ = lost_servers.end_unlisted(tables, others, now, one_page=True)
            lines_by_age[age_s] = [
                command.kind
                for command in step_.commands
                if isinstance(command, Decision)
            ]
        young, old = lines_by_age.values()
        self.assertNotIn("host.unlisted", young)
        self.assertIn("host.unlisted", old)

    # After a takeover, it is not known for how long a server has held its tasks.
    def test_a_host_that_is_cut_off_keeps_its_runs(self) -> None:
        self.world.cut_off(HOST, 5.0)
        self.world.run(1.0)
        self.world.kill(self.world.owner())
        self.world.run(10.0)
        kinds = [line.kind for line in self.world.decisions]
        self.assertNotIn("host.unlisted", kinds)
        self.assertEqual([], self.world.violations)


class BrokenListTest(ListTest):
    def test_a_malformed_entry_does_not_hide_a_lost_host(self) -> None:
        self.change_list(lambda listed: replace(listed, complete=False))
        self.lose_host()
        self.assert_running_soon()

    def test_one_list_that_lacks_a_server_ends_no_run(self) -> None:
        # A page boundary moved past its machine, or the list is a second old.
        lists: list[MachinesListed] = []

        server_id = self.world.executor_by_host[HOST].server_id

        def lacking(listed: MachinesListed) -> MachinesListed:
            lists.append(listed)
            if len(lists) > 1:
                return listed
            others = (listed.running_server_ids or frozenset()) - {server_id}
            return replace(listed, running_server_ids=others)

        self.change_list(lacking)
        self.world.cut_off(HOST, 5.0)
        self.world.run(8.0)
        self.assertEqual([], self.world.violations)


class ManyLostTest(ListTest):
    def test_all_hosts_lost_and_replaced(self) -> None:
        for host in list(self.world.executor_by_host):
            self.lose_host(host)
        lost_at = self.world.now
        self.world.run(1.0)
        for number in range(5):
            self.world.start_host(f"z{number % 3}-new{number}")
        left_s = lost_at + MAX_ALONE_S - self.world.now
        self.assertTrue(self.world.run_until(self.all_running, left_s))
        self.assertEqual([], self.world.violations)

    def test_all_hosts_with_tasks_lost_together(self) -> None:
        self.start_world(hosts=12)
        for host, executor in self.world.executor_by_host.items():
            if executor.run_by_key:
                self.lose_host(host)
        self.assert_running_soon()

    def test_all_hosts_with_tasks_lost_with_the_owner(self) -> None:
        self.start_world(hosts=12)
        lost_at = self.world.now
        for host, executor in self.world.executor_by_host.items():
            if executor.run_by_key:
                self.lose_host(host)
        self.world.kill(self.world.owner())
        left_s = lost_at + 9.5 - self.world.now
        self.assertTrue(self.world.run_until(self.all_running, left_s))
        self.assertEqual([], self.world.violations)


class AgentTest(ListTest):
    def test_a_hanging_server(self) -> None:
        self.world.unlisted_hosts.add(HOST)
        self.world.run(30.0)
        self.assertEqual([], self.world.violations)

    def test_a_server_lost_while_its_agent_is_cut_off_and_back(self) -> None:
        self.world.cut_off(HOST, 3.0)
        self.world.run(1.0)
        self.world.executor_by_host[HOST].crash()
        self.assert_running_soon()

    def test_a_server_lost_while_its_agent_restarts_again_and_again(self) -> None:
        self.world.executor_by_host[HOST].crash()
        for after_s in (0.5, 2.5, 4.5):
            self.world.at(after_s, lambda: self.world.restart(HOST))
        self.assert_running_soon()

    def test_a_host_lost_when_an_upkeep_wave_is_open(self) -> None:
        self.world.order_wave(1, "m-z1-1", "m-z2-2")
        self.world.run(0.5)
        self.lose_host()
        self.assert_running_soon()

    def test_a_host_lost_during_a_second_tenure_of_the_same_entry(self) -> None:
        self.world.restart(self.world.owner())
        self.world.run(1.0)
        lost_at = self.world.now
        self.lose_host()
        left_s = lost_at + 9.5 - self.world.now
        self.assertTrue(self.world.run_until(self.all_running, left_s))
        self.assertEqual([], self.world.violations)


class FalseListTest(ListTest):
    def test_a_host_that_was_taken_for_lost_gets_tasks_again(self) -> None:
        # Its link outlasts the silence, so its agent has no cause to report anew.
        server_id = self.world.executor_by_host[HOST].server_id

        def lacking(listed: MachinesListed) -> MachinesListed:
            others = (listed.running_server_ids or frozenset()) - {server_id}
            return replace(listed, running_server_ids=others)

        self.change_list(lacking)
        self.world.silence(HOST, self.world.owner(), 2.9)
        self.world.run(4.0)
        self.assertIn("host.unlisted", {line.kind for line in self.world.decisions})
        self.world.run(20.0)
        owner = self.world.process_by_name[self.world.owner()]
        tables: SchedulerTables = owner.instance_by_role[SCHEDULER].tables
        self.assertIs(ServerState.READY, tables.hosts.by_key[HOST].state)


class LeavingOwnerTest(ListTest):
    def test_a_host_lost_while_the_owner_leaves(self) -> None:
        for delay_s in (0.0, 0.5, 1.5):
            self.start_world()
            lost_at = self.world.now
            self.lose_host()
            self.world.run(delay_s)
            self.world.leave(self.world.owner())
            left_s = lost_at + 9.5 - self.world.now
            self.assertTrue(self.world.run_until(self.all_running, left_s))
            self.assertEqual([], self.world.violations)

    def test_a_host_that_is_cut_off_while_the_owner_stands_still(self) -> None:
        for delay_s in (0.0, 1.0, 2.0):
            self.start_world()
            self.world.cut_off(HOST, 7.0)
            self.world.run(delay_s)
            self.world.freeze(self.world.owner(), 4.0)
            self.world.run(25.0)
            self.assertEqual([], self.world.violations)

    def test_a_host_lost_whose_list_fails_at_first(self) -> None:
        self.world.machines_up = False
        self.lose_host()
        self.world.at(4.0, lambda: setattr(self.world, "machines_up", True))
        self.assert_running_soon()
