"""Tests of the lines that say for how long nothing of a job has run.

A job stood still for seconds through states that follow one another, each of them
too short for a line, and no line said whether there was room for its task meanwhile.
"""

from __future__ import annotations

from dataclasses import replace

import testtools

from bulrushpulley.entities.jobs.host import Host, ServerState
from bulrushpulley.entities.jobs.idle_jobs import IdleJobTables
from bulrushpulley.entities.jobs.rows import JobState
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerTables
from bulrushpulley.entities.jobs.spec import StepSpec
from bulrushpulley.entities.jobs.task import Task, TaskState, task_id_of
from bulrushpulley.entities.observe import Decision, Observe
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Command
from bulrushpulley.entities.table import Table
from bulrushpulley.systems.lasting_states import MAX_LINES_PER_REPORT
from bulrushpulley.systems.scheduling import (
    capacity_use,
    edits,
    idle_jobs,
    placing,
    room,
)
from test.jobs_world import JobsWorld, step
from test.test_jobs_unserved import HUGE, LONG, lines, tables_of_owner

LINE = "job.idle_span"
# How far a span may be from what happened: an examination at each end.
TOLERANCE_S = 2 * idle_jobs.MIN_EXAMINE_INTERVAL_S


class MeterTest(testtools.TestCase):
    """Examines tables that a test changes, with a clock of its own."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld()
        self.world.run(5.0)
        self.commands: list[Command] = []

    def take_tables(self) -> None:
        """Go on from the tables of the owner as they are now."""
        self.tables: SchedulerTables = tables_of_owner(self.world)
        self.now = self.world.now

    def tasks(self, job: str) -> list[Task]:
        return self.tables.tasks.rows_where("job", job)

    def put(self, task: Task, state: TaskState, **changes: object) -> None:
        """Put a task in a state that begins now."""
        changed = replace(task, state=state, since=self.now)
        changed = replace(changed, **changes)  # type: ignore[arg-type]
        self.tables = edits.put_task(self.tables, changed)

    def wait_again(self, task: Task) -> None:
        """Let a task wait as if a run of it that was seen running had just ended."""
        self.put(task, TaskState.WAITING, host="", life="", idle_since=self.now)

    def resume(self, task: Task) -> None:
        """Let a task run."""
        self.put(task, TaskState.RUNNING, running_since=self.now)

    def pass_time(self, seconds: float) -> None:
        """Run the system every 50 ms."""
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            step_ = idle_jobs.run(self.tables, self.now)
            self.tables = step_.tables
            self.commands.extend(step_.commands)

    def logged(self) -> list[Decision]:
        found = lines(self.commands, LINE)
        self.commands.clear()
        return found

    def change_hosts(self, **changes: object) -> None:
        for host in self.tables.hosts.rows():
            changed = replace(host, **changes)  # type: ignore[arg-type]
            self.tables = edits.put_host(self.tables, changed)


class SpanTest(MeterTest):
    def setUp(self) -> None:
        super().setUp()
        self.job = self.world.submit(1, step(2), payload=LONG)
        self.world.run(1.0)
        self.take_tables()
        self.first, self.second = self.tasks(self.job)
        self.pass_time(2.0)

    def test_a_job_that_runs_has_no_span(self) -> None:
        self.wait_again(self.first)
        self.pass_time(10.0)
        self.assertEqual([], self.logged())
        self.assertEqual(0, len(self.tables.idle_jobs.spans))

    def test_a_span_that_ends_is_logged_with_its_states(self) -> None:
        self.wait_again(self.first)
        self.wait_again(self.second)
        self.pass_time(1.0)
        self.put(self.first, TaskState.PLACED)
        self.pass_time(0.4)
        self.put(self.first, TaskState.HELD)
        self.pass_time(0.6)
        self.resume(self.first)
        self.pass_time(1.5)
        (line,) = self.logged()
        self.assertEqual(self.job, line.subject)
        self.assertEqual("room", line.chosen.split()[0])
        self.assertAlmostEqual(2.0, float(line.chosen.split()[1]), delta=TOLERANCE_S)
        idle_s = float(line.reason.split()[2])
        self.assertAlmostEqual(2.0, idle_s, delta=TOLERANCE_S)
        for state in ("waiting", "placed", "held"):
            self.assertIn(f"{state} ", line.reason)
        self.assertIn(" ago: ", line.reason)

    def test_a_short_span_is_observed_but_not_logged(self) -> None:
        self.wait_again(self.first)
        self.wait_again(self.second)
        self.pass_time(1.0)
        self.resume(self.first)
        self.pass_time(1.5)
        observed = [each for each in self.commands if isinstance(each, Observe)]
        self.assertEqual([], self.logged())
        (seen,) = observed
        self.assertEqual(("job_idle_seconds", "yes"), (seen.name, seen.label))
        self.assertAlmostEqual(1.0, seen.seconds, delta=TOLERANCE_S)

    def test_a_span_that_lasts_is_logged_at_doubling_ages(self) -> None:
        self.wait_again(self.first)
        self.wait_again(self.second)
        self.pass_time(2.8)
        self.assertEqual([], self.logged())
        self.pass_time(1.4)
        (line,) = self.logged()
        self.assertIn("idle for ", line.reason)
        self.assertNotIn("ago", line.reason)
        self.pass_time(9.0)
        self.assertEqual(2, len(self.logged()))

    def test_a_run_between_two_examinations_ends_a_span(self) -> None:
        self.wait_again(self.first)
        self.wait_again(self.second)
        self.pass_time(2.0)
        self.put(self.first, TaskState.DONE, host="", life="")
        self.pass_time(2.0)
        lengths_s = [float(line.reason.split()[2]) for line in self.logged()]
        self.assertEqual(1, len(lengths_s))
        self.assertAlmostEqual(2.0, lengths_s[0], delta=TOLERANCE_S)
        self.wait_again(self.second)
        self.pass_time(1.3)
        self.assertEqual(1, len(self.logged()))

    def test_a_refused_placement_does_not_end_a_span(self) -> None:
        self.wait_again(self.first)
        self.wait_again(self.second)
        idle_since = self.now
        for _ in range(5):
            self.put(self.first, TaskState.HELD, idle_since=idle_since)
            self.pass_time(0.8)
            self.put(
                self.first, TaskState.WAITING, host="", life="", idle_since=idle_since
            )
            self.pass_time(0.2)
        spans = self.tables.idle_jobs.spans.rows()
        (span,) = spans
        self.assertAlmostEqual(idle_since, span.since, delta=TOLERANCE_S)

    def test_a_run_that_is_being_stopped_still_works(self) -> None:
        self.put(self.first, TaskState.STOPPING)
        self.wait_again(self.second)
        self.pass_time(5.0)
        self.assertEqual([], self.logged())

    def test_a_cancelled_job_has_no_span(self) -> None:
        self.wait_again(self.first)
        self.wait_again(self.second)
        self.pass_time(1.0)
        self.assertEqual(1, len(self.tables.idle_jobs.spans))
        job = self.tables.jobs.by_key[self.job]
        cancelled = replace(job, state=JobState.CANCELLED)
        self.tables = edits.put_job(self.tables, cancelled)
        self.pass_time(5.0)
        self.assertEqual(0, len(self.tables.idle_jobs.spans))
        self.assertEqual([], self.logged())


class BlockedTest(MeterTest):
    def test_a_step_that_is_never_unblocked_is_idle(self) -> None:
        job = self.world.submit(1, step(1), step(2, after=(0,)), payload=LONG)
        self.world.run(1.0)
        self.take_tables()
        self.pass_time(1.0)
        first = self.tasks(job)[0]
        self.put(first, TaskState.DONE, host="", life="")
        self.pass_time(4.2)
        (line,) = self.logged()
        self.assertEqual(job, line.subject)
        self.assertIn("blocked although its turn has come", line.reason)

    def test_a_job_that_is_not_due_is_not_idle(self) -> None:
        due_s = self.world.now + 30.0
        self.world.submit(1, step(1), occurrences=2, first_due_s=due_s)
        self.world.run(1.0)
        self.take_tables()
        self.pass_time(8.0)
        self.assertEqual(0, len(self.tables.idle_jobs.spans))


class LastingTest(MeterTest):
    def test_each_lasting_task_has_a_span_of_its_own(self) -> None:
        job = self.world.submit(1, step(3, lasting=True), payload=LONG)
        self.world.run(1.0)
        self.take_tables()
        self.pass_time(1.0)
        first, second, _ = self.tasks(job)
        self.wait_again(first)
        self.pass_time(1.0)
        self.wait_again(second)
        self.pass_time(2.0)
        self.resume(second)
        self.pass_time(1.5)
        found = {line.subject: line.reason for line in self.logged()}
        self.assertEqual({first.task_id, second.task_id}, set(found))
        self.assertIn(" ago: ", found[second.task_id])


class RoomTest(MeterTest):
    """Room for a task twice is counted over all hosts that are ready."""

    def setUp(self) -> None:
        super().setUp()
        self.job = self.world.submit(1, step(1), payload=LONG)
        self.world.run(1.0)
        self.take_tables()
        (task,) = self.tasks(self.job)
        self.wait_again(task)

    def is_roomy(self) -> bool:
        (task,) = self.tasks(self.job)
        return room.have_room_twice(self.tables, [task])[task.task_id]

    def leave(self, *free: int) -> None:
        """Leave room for so many tasks of the job on each host."""
        (task,) = self.tasks(self.job)
        size = edits.step_of(self.tables, task).committed
        for host, places in zip(self.tables.hosts.rows(), free, strict=True):
            committed = host.capacity
            for _ in range(places):
                committed = committed.minus(size)
            changed = replace(host, committed=committed)
            self.tables = edits.put_host(self.tables, changed)

    def test_one_host_with_room_twice_or_two_with_room_once(self) -> None:
        expected = {(2, 0, 0): True, (1, 0, 1): True, (0, 1, 0): False}
        for free, is_roomy in expected.items():
            self.leave(*free)
            self.assertEqual(is_roomy, self.is_roomy(), str(free))

    def test_the_room_that_its_own_placement_holds_counts(self) -> None:
        (task,) = self.tasks(self.job)
        self.put(task, TaskState.HELD, host="z0-0", life="i")
        self.leave(0, 1, 0)
        self.assertTrue(self.is_roomy())
        self.leave(0, 0, 0)
        self.assertFalse(self.is_roomy())

    def test_hosts_that_are_closed_by_choice_count(self) -> None:
        self.change_hosts(quarantined_until=self.now + 60.0, synced=False)
        host = self.tables.hosts.rows()[0]
        closed = placing.exclusion_of(self.tables, host, frozenset(), self.now)
        self.assertIsNotNone(closed)
        self.assertTrue(self.is_roomy())

    def test_hosts_that_are_not_ready_or_evacuated_do_not_count(self) -> None:
        ready = self.tables
        self.change_hosts(state=ServerState.DRAINING)
        self.assertFalse(self.is_roomy())
        self.tables = ready
        domains = {host.failure_domain for host in ready.hosts.rows()}
        orders = replace(ready.operator_settings, evacuated=frozenset(domains))
        self.tables = replace(ready, operator_settings=orders)
        self.assertFalse(self.is_roomy())

    def test_labels_and_the_limit_for_a_host_count(self) -> None:
        job = self.world.submit(2, step(2, per_host_limit=1), payload=LONG)
        other = self.world.submit(3, step(1, needs_label="none"), payload=LONG)
        self.world.run(1.0)
        self.take_tables()
        waiting, held = self.tasks(job)
        self.wait_again(waiting)
        found = room.have_room_twice(self.tables, [waiting])
        self.assertEqual({waiting.task_id: True}, found)
        (first, *_) = self.tables.hosts.rows()
        self.tables = replace(self.tables, hosts=self.only(first))
        self.assertNotEqual("", held.host)
        found = room.have_room_twice(self.tables, [waiting])
        self.assertEqual({waiting.task_id: False}, found)
        (task,) = self.tasks(other)
        self.assertEqual(
            {task.task_id: False}, room.have_room_twice(self.tables, [task])
        )

    def only(self, host: Host) -> Table[Host]:
        hosts = self.tables.hosts
        for each in hosts.rows():
            hosts = hosts if each.name == host.name else hosts.drop(each.name)
        return hosts

    def test_a_gang_needs_room_for_all_of_it_twice(self) -> None:
        size = self.tables.hosts.rows()[0].capacity
        third = Resources(processors_m=size.processors_m // 3, memory_mb=1)
        job = self.world.submit(
            2, replace(step(4, gang=True), size=third), payload=LONG
        )
        self.world.run(1.0)
        self.take_tables()
        tasks = self.tasks(job)
        for task in tasks:
            self.wait_again(task)
        self.leave_all()
        found = room.have_room_twice(self.tables, [tasks[0]])
        self.assertEqual({tasks[0].task_id: True}, found)
        self.tables = edits.put_host(
            self.tables, replace(self.tables.hosts.rows()[0], state=ServerState.GONE)
        )
        found = room.have_room_twice(self.tables, [tasks[0]])
        self.assertEqual({tasks[0].task_id: False}, found)

    # Raised an exception, which ended each owner of the shard in turn.
    def test_there_is_room_for_a_task_that_needs_nothing_counted(self) -> None:
        filling = step(1, fills=True, size=Resources(processors_m=500))
        self.assertTrue(self.is_roomy_beside_full_hosts(filling))
        self.assertTrue(self.is_roomy_beside_full_hosts(step(1, size=Resources())))
        limited = step(2, fills=True, per_host_limit=1, size=Resources())
        self.assertTrue(self.is_roomy_beside_full_hosts(limited))
        gang = replace(limited, count=4, gang=True)
        self.assertFalse(self.is_roomy_beside_full_hosts(gang))

    def is_roomy_beside_full_hosts(self, spec: StepSpec) -> bool:
        """Return whether there is room for a task of a new job."""
        number = len(self.tables.jobs) + 1
        job_id = self.world.submit(number, spec, payload=LONG)
        self.world.run(1.0)
        self.take_tables()
        (waiting, *_) = self.tasks(job_id)
        self.wait_again(waiting)
        self.leave(0, 0, 0)
        return room.have_room_twice(self.tables, [waiting])[waiting.task_id]

    def leave_all(self) -> None:
        self.change_hosts(committed=Resources())

    def test_the_longest_time_with_room_is_kept(self) -> None:
        self.leave(2, 0, 0)
        self.pass_time(2.5)
        self.leave(0, 0, 0)
        self.pass_time(1.0)
        self.leave(2, 0, 0)
        self.pass_time(1.0)
        (span,) = self.tables.idle_jobs.spans.rows()
        self.assertAlmostEqual(2.5, span.room_s(self.now), delta=TOLERANCE_S)
        self.pass_time(2.5)
        (span,) = self.tables.idle_jobs.spans.rows()
        self.assertAlmostEqual(3.5, span.room_s(self.now), delta=TOLERANCE_S)

    def test_room_that_lasts_is_logged_in_a_span_that_was_logged_before(self) -> None:
        self.leave(0, 0, 0)
        # Lines are due at 3 s and 6 s, and late by a report and an examination.
        self.pass_time(7.4)
        self.assertEqual(2, len(self.logged()))
        self.leave(2, 0, 0)
        self.pass_time(2.5)
        self.assertEqual([], self.logged())
        self.pass_time(1.8)
        (line,) = self.logged()
        self.assertEqual("room", line.chosen.split()[0])

    def test_what_keeps_a_job_from_the_room_is_named(self) -> None:
        self.change_hosts(
            quarantined_until=self.now + 60.0, last_contact_at=self.now + 60.0
        )
        self.pass_time(4.2)
        (line,) = self.logged()
        self.assertIn("quarantined 3", line.reason)
        self.assertEqual("room", line.chosen.split()[0])

    def test_a_job_without_room_says_so(self) -> None:
        self.leave(0, 0, 0)
        self.pass_time(4.2)
        (line,) = self.logged()
        self.assertEqual("no room", line.chosen)


class BoundsTest(MeterTest):
    def test_a_report_has_few_lines_those_with_room_first(self) -> None:
        for number in range(1, 31):
            self.world.submit(number, replace(step(1), size=HUGE))
        roomy = self.world.submit(31, step(1), payload=LONG)
        self.world.run(0.5)
        self.take_tables()
        (task,) = self.tasks(roomy)
        self.put(task, TaskState.WAITING, host="", life="")
        self.tables = replace(self.tables, idle_jobs=IdleJobTables())
        self.pass_time(4.2)
        found = self.logged()
        self.assertEqual(roomy, found[0].subject)
        # The two kinds of span reach their first age in two reports at most.
        self.assertLessEqual(len(found), 2 * MAX_LINES_PER_REPORT)
        self.assertTrue(any("more are not logged" in line.reason for line in found))

    def test_a_span_that_a_report_leaves_out_has_a_line_later(self) -> None:
        count = 3 * MAX_LINES_PER_REPORT
        for number in range(1, count + 1):
            self.world.submit(number, replace(step(1), size=HUGE))
        self.world.run(0.5)
        self.take_tables()
        self.pass_time(6.0)
        self.assertEqual(count, len({line.subject for line in self.logged()}))

    def test_the_interval_grows_with_the_number_of_rows(self) -> None:
        job = self.world.submit(1, replace(step(1), size=HUGE))
        self.world.run(0.5)
        self.take_tables()
        (task,) = self.tasks(job)
        count = 150
        for number in range(count):
            job_row = replace(self.tables.jobs.by_key[job], job_id=f"j{number}")
            self.tables = edits.put_job(self.tables, job_row)
            task_id = task_id_of(f"j{number}", 0, 0, 0)
            more = replace(task, task_id=task_id, job_id=f"j{number}")
            self.tables = edits.put_task(self.tables, more)
        tables = idle_jobs.examine(self.tables, self.now)
        idle = tables.idle_jobs
        self.assertEqual(count + 1, len(idle.spans))
        self.assertAlmostEqual(
            self.now + idle_jobs.MIN_EXAMINE_INTERVAL_S, idle.next_due_at
        )
        self.patch(idle_jobs, "MAX_EXAMINED_ROWS_PER_S", 1_000)
        idle = idle_jobs.examine(self.tables, self.now).idle_jobs
        self.assertGreater(idle.next_due_at - self.now, 2 * count / 1_000)
        self.patch(idle_jobs, "MAX_EXAMINED_ROWS_PER_S", 100)
        idle = idle_jobs.examine(self.tables, self.now).idle_jobs
        latest = self.now + idle_jobs.MAX_EXAMINE_INTERVAL_S
        self.assertAlmostEqual(latest, idle.next_due_at)

    def test_a_search_for_room_is_bounded_and_goes_on_where_it_stopped(self) -> None:
        self.patch(room, "MAX_EXAMINED_HOSTS", 3)
        for number in range(1, 5):
            size = Resources(processors_m=99_000 + number, memory_mb=100)
            self.world.submit(number, replace(step(1), size=size))
        self.world.run(1.0)
        self.take_tables()
        self.tables = replace(self.tables, idle_jobs=IdleJobTables())
        self.tables = idle_jobs.examine(self.tables, self.now)
        examined = [
            span.room_examined_at > 0.0 for span in self.tables.idle_jobs.spans.rows()
        ]
        self.assertEqual(1, examined.count(True))
        self.pass_time(1.0)
        for span in self.tables.idle_jobs.spans.rows():
            self.assertGreater(span.room_examined_at, 0.0)


class SiteTest(testtools.TestCase):
    def test_a_site_that_serves_its_jobs_has_no_such_line(self) -> None:
        world = JobsWorld()
        world.run(5.0)
        world.submit(1, step(3), step(3, after=(0,)), payload="4.0")
        world.submit(2, step(2, lasting=True), payload="6.0")
        world.run(20.0)
        self.assertEqual([], lines(list(world.decisions), LINE))

    def test_a_job_that_fits_nowhere_is_logged_without_room(self) -> None:
        world = JobsWorld()
        world.run(5.0)
        job = world.submit(1, replace(step(1), size=HUGE))
        world.run(4.5)
        (line,) = lines(list(world.decisions), LINE)
        self.assertEqual((job, "no room"), (line.subject, line.chosen))


class CapacityUseTest(MeterTest):
    def test_what_is_in_use_is_logged_for_each_service(self) -> None:
        self.world.submit(1, step(2, lasting=True), payload=LONG)
        self.world.submit(2, step(1, fills=True, image="f"), payload=LONG)
        self.world.run(1.0)
        self.take_tables()
        hosts = self.tables.hosts.rows()
        capacity_m = sum(host.capacity.processors_m for host in hosts)
        held_m = sum(host.lasting_m for host in hosts)
        filling_mb = sum(host.filling_mb for host in hosts)
        self.assertGreater(held_m, 0)
        self.assertGreater(filling_mb, 0)
        self.tables = replace(self.tables, capacity_use_reported_at=self.now)
        early = self.now + capacity_use.REPORT_INTERVAL_S - 0.1
        self.assertEqual((), capacity_use.run(self.tables, early).commands)
        late = self.now + capacity_use.REPORT_INTERVAL_S
        (line,) = lines(
            list(capacity_use.run(self.tables, late).commands), "capacity.use"
        )
        self.assertEqual(hosts[0].service, line.subject)
        self.assertEqual("3 hosts ready", line.chosen)
        held = f"lasting tasks hold processors {held_m / capacity_m:.3f}"
        self.assertIn(held, line.reason)

    def test_what_is_held_is_given_back(self) -> None:
        job = self.world.submit(1, step(2, lasting=True), payload=LONG)
        self.world.submit(2, step(1, fills=True, image="f"), payload="1.0")
        self.world.run(1.0)
        self.take_tables()
        held = [host.lasting_mb for host in self.tables.hosts.rows()]
        self.assertGreater(sum(held), 0)
        self.world.run(8.0)
        self.take_tables()
        for task in self.tasks(job):
            self.put(task, TaskState.DONE, host="", life="")
        for host in self.tables.hosts.rows():
            self.assertEqual((0, 0), (host.lasting_mb, host.filling_mb))
