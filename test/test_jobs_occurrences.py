"""Tests of jobs with many occurrences, most of which are not due.

An owner added the tasks of all occurrences when it read a job. With a job for each
minute of the day from each of many teams, that took longer than the other entries wait
for its next renewal, so the shard changed hands without end and no job ran (LOST).
"""

from __future__ import annotations

import testtools

from bulrushpulley.entities.jobs.calls import CancelCall
from bulrushpulley.entities.jobs.job import Job
from bulrushpulley.entities.jobs.rows import JobState, ProgressRow, progress_key
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER, SchedulerTables
from bulrushpulley.entities.jobs.spec import JobSpec
from bulrushpulley.entities.resources import Resources
from bulrushpulley.systems.scheduling import occurrences
from test.jobs_world import QUEUE, JobsWorld, step

# `JobsWorld` submits jobs with this interval.
INTERVAL_S = 2.0
SMALL_TASK = Resources(processors_m=5, memory_mb=1)


class OccurrencesTest(testtools.TestCase):
    """Jobs with occurrences on a site of their own."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=2, hosts=3)
        self.world.run(3.0)

    def tables(self) -> SchedulerTables:
        """Return the tables of the owner."""
        process = self.world.process_by_name[self.world.owner()]
        tables: SchedulerTables = process.instance_by_role[SCHEDULER].tables
        return tables

    def job(self, job_id: str) -> Job:
        """Return a job as the owner knows it."""
        return self.tables().jobs.by_key[job_id]

    # review/9: 130 jobs with 1,440 occurrences of two tasks.
    def test_tasks_that_are_not_due_take_no_room(self) -> None:
        for number in range(1, 21):
            self.world.submit(
                number, step(2), occurrences=1_440, first_due_s=self.world.now + 100.0
            )
        self.world.run(1.0)
        self.assertEqual(20, len(self.tables().jobs))
        self.assertEqual(0, len(self.tables().tasks))
        small = self.world.submit(99, step(2), payload="0.5")
        self.world.run(1.5)
        self.assertEqual(JobState.COMPLETED, self.world.state_of(small))

    def test_each_occurrence_runs_once_when_it_is_due(self) -> None:
        due_s = self.world.now + 1.0
        job_id = self.world.submit(
            1,
            step(2),
            step(1, after=(0,)),
            payload="0.5",
            occurrences=5,
            first_due_s=due_s,
        )
        for occurrence in range(5):
            self.world.run(due_s + occurrence * INTERVAL_S - self.world.now - 0.1)
            self.assertEqual(3 * occurrence, self.world.starts)
            self.assertEqual(occurrence, self.job(job_id).done_occurrences)
            self.assertEqual([], self.tables().tasks.rows_where("job", job_id))
            self.world.run(1.8)
        self.world.run(0.5)
        self.assertEqual(15, self.world.starts)
        self.assertEqual(JobState.COMPLETED, self.world.state_of(job_id))
        self.assertEqual([], self.world.violations)

    # Completed occurrences have no entries of tasks that would say so.
    def test_a_new_owner_runs_no_occurrence_again(self) -> None:
        due_s = self.world.now + 0.5
        job_id = self.world.submit(
            1, step(2), payload="0.5", occurrences=8, first_due_s=due_s
        )
        for _ in range(3):
            self.world.run(3.0)
            self.world.restart(self.world.owner())
        done = 0
        while not self.world.all_complete() and self.world.now < due_s + 30.0:
            self.world.run(0.1)
            stored = self.world.store.row_by_key[progress_key(job_id)].row
            assert isinstance(stored, ProgressRow)
            self.assertGreaterEqual(stored.done_occurrences, done)
            done = stored.done_occurrences
            self.assertLessEqual(len(stored.tasks), 4)
        self.assertEqual(7, done)
        self.assertEqual(16, self.world.starts)
        self.assertEqual([], self.world.violations)

    def test_occurrences_overlap(self) -> None:
        job_id = self.world.submit(
            1, step(1), payload="5.0", occurrences=4, first_due_s=self.world.now
        )
        self.world.run(4.9)
        self.assertEqual(3, self.world.starts)
        self.assertEqual(0, self.job(job_id).done_occurrences)
        self.assertTrue(self.world.run_until(self.world.all_complete, 12.0))
        self.assertEqual(4, self.world.starts)

    # All are due at once, as after a time in which no entry ran.
    def test_many_late_occurrences_begin_in_turn(self) -> None:
        self.world.submit(
            1,
            step(300, size=SMALL_TASK),
            payload="0.2",
            occurrences=6,
            first_due_s=self.world.now - 100.0,
        )
        self.world.run(1.0)
        self.assertLessEqual(len(self.tables().tasks), occurrences.MAX_OPEN_TASKS)
        self.assertTrue(self.world.run_until(self.world.all_complete, 90.0))
        self.assertEqual(1_800, self.world.starts)

    def test_a_cancelled_job_begins_no_more(self) -> None:
        job_id = self.world.submit(
            1, step(1), payload="0.5", occurrences=9, first_due_s=self.world.now
        )
        self.world.run(3.0)
        call = CancelCall(
            call_id="cancel",
            authority=QUEUE.authority,
            path=f"{QUEUE.path_prefix}{job_id}",
            within_s=3.0,
            received_at_s=self.world.now,
        )
        self.world.tell(self.world.process_by_name["entry-0"], "intake", call)
        self.world.run(1.0)
        starts = self.world.starts
        self.world.run(6.0)
        self.assertEqual(starts, self.world.starts)
        self.assertEqual(JobState.CANCELLED, self.world.state_of(job_id))


class DueCountTest(testtools.TestCase):
    """The number of occurrences that are due at a time."""

    def test_times_and_intervals(self) -> None:
        for count, first_s, interval_s, wall_s, expected in (
            (0, 0.0, 0.0, 0.0, 1),
            (0, 900.0, 5.0, 10.0, 1),
            (3, 100.0, 10.0, 99.9, 0),
            (3, 100.0, 10.0, 100.0, 1),
            (3, 100.0, 10.0, 109.9, 1),
            (3, 100.0, 10.0, 110.0, 2),
            (3, 100.0, 10.0, 1e12, 3),
            (3, 100.0, 0.0, 100.0, 3),
            (3, 100.0, 1e-9, 100.5, 3),
        ):
            spec = JobSpec(
                payload="",
                steps=(step(1),),
                occurrences=count,
                first_due_s=first_s,
                interval_s=interval_s,
            )
            self.assertEqual(expected, occurrences.due_count(spec, wall_s))
            for number in range(spec.runs):
                is_due = wall_s >= spec.due_s(number)
                self.assertEqual(number < expected, is_due)

    # Raised an exception, which ended each owner that read the job in turn.
    def test_an_interval_that_the_time_cannot_be_divided_by(self) -> None:
        spec = JobSpec(payload="", steps=(step(1),), occurrences=3, interval_s=5e-324)
        self.assertEqual(3, occurrences.due_count(spec, 1.8e9))
        self.assertEqual(1, occurrences.due_count(spec, 0.0))
