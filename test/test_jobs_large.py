"""Tests that a job whose progress outgrows a row of the store harms no other job.

The store refused each transaction with the row, and with it the renewal of the owner
row and the progress of all other jobs, so that every run lapsed (LOST).
"""

from __future__ import annotations

import base64
import random
from dataclasses import replace

import testtools

from bulrushpulley.entities.jobs.rows import JobState, ProgressRow, progress_key
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER, SchedulerTables
from bulrushpulley.entities.jobs.spec import MAX_TASKS
from bulrushpulley.entities.resources import Resources
from bulrushpulley.systems.scheduling import edits, progress
from bulrushpulley.wire.job_rows import encode_row
from test.jobs_store import MAX_ENTRIES, MAX_ROW_BYTES, MAX_TRANSACTION_BYTES
from test.jobs_world import JobsWorld, step

# Checkpoints of 600 tasks take 75 KB, however they are compressed.
TASKS = 600
CHECKPOINT_DIGITS = 300
SMALL_TASK = Resources(processors_m=5, memory_mb=1)
LONG, SHORT = "20.0", "0.5"
OTHER_JOBS = range(2, 8)
# All runs of the large job have checkpoints, and their leases have been renewed.
WARM_UP_S = 8.0
# A run, and the time in which its end is written.
OTHER_JOB_S = 3.0


class LargeJobTest(testtools.TestCase):
    """A large job saves its progress beside small jobs."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=2, hosts=4)
        for executor in self.world.executor_by_host.values():
            executor.checkpoints = True
            executor.checkpoint_digits = CHECKPOINT_DIGITS
        self.world.run(3.0)
        large = step(TASKS, size=SMALL_TASK, checkpoints=True)
        self.job_id = self.world.submit(1, large, payload=LONG)
        self.world.run(WARM_UP_S)

    def pages(self) -> list[ProgressRow]:
        """Return the stored rows of the large job's progress that count."""
        rows: list[ProgressRow] = []
        pages = 1
        while len(rows) < pages:
            row = self.world.store.row_by_key[progress_key(self.job_id, len(rows))].row
            assert isinstance(row, ProgressRow)
            rows.append(row)
            pages = rows[0].pages
        return rows

    def test_other_jobs_go_on(self) -> None:
        jobs = [
            self.world.submit(number, step(2), payload=SHORT) for number in OTHER_JOBS
        ]
        self.world.run(OTHER_JOB_S)
        states = {self.world.state_of(job) for job in jobs}
        self.assertEqual({JobState.COMPLETED}, states)
        self.assertEqual([], self.world.store.refusals)

    # A new owner needs the tasks of all rows, or they would run twice.
    def test_the_job_outlasts_a_takeover(self) -> None:
        self.assertGreater(len(self.pages()), 1)
        self.world.kill(self.world.owner())
        self.assertTrue(self.world.run_until(self.world.all_complete, 60.0))
        self.assertEqual([], self.world.violations)
        self.assertEqual([], self.world.store.refusals)
        self.assertEqual(TASKS, self.world.starts)


class ProgressRowsTest(testtools.TestCase):
    """The rows of a transaction stay within the limits of the store."""

    def tables(
        self, *, jobs: int, tasks: int, checkpoint_digits: int
    ) -> SchedulerTables:
        """Return an owner's tables with runs of all tasks, whose progress is due."""
        world = JobsWorld(entries=1, hosts=1)
        world.run(3.0)
        world.kill("z0-0")
        for number in range(jobs):
            world.submit(number + 1, step(tasks))
        world.run(1.0)
        tables: SchedulerTables = (
            world.process_by_name["entry-0"].instance_by_role[SCHEDULER].tables
        )
        drawn = random.Random(1)
        for number, task in enumerate(tables.tasks.rows()):
            host = f"side-marmara-gebze-{number % 2000}"
            running = replace(
                task,
                run=1,
                host=host,
                life=f"i-{drawn.randrange(16**8):08x}/1796583513433",
                checkpoint=drawn.randbytes(checkpoint_digits // 2).hex(),
            )
            tables = edits.put_task(tables, running)
        for job in tables.jobs.rows():
            tables = edits.mark_dirty(tables, job.job_id)
        return tables

    def written(self, tables: SchedulerTables) -> list[ProgressRow]:
        """Check the sizes of the next transaction, and return its rows."""
        rows = [
            row
            for job_id in progress.due_job_ids(tables, frozenset())
            for row in progress.rows_of(tables, job_id)
        ]
        values = [encode_row(row) for row in rows]
        self.assertLessEqual(max(len(value) for value in values), MAX_ROW_BYTES)
        total_bytes = sum(len(base64.b64encode(value)) for value in values)
        self.assertLess(total_bytes, MAX_TRANSACTION_BYTES)
        self.assertLess(len(rows), MAX_ENTRIES)
        return rows

    def test_the_largest_job(self) -> None:
        tables = self.tables(jobs=1, tasks=MAX_TASKS, checkpoint_digits=80)
        rows = self.written(tables)
        stored = {task for row in progress.merged(rows).values() for task in row.tasks}
        self.assertEqual({task.progress for task in tables.tasks.rows()}, stored)

    def test_checkpoints_that_are_too_long(self) -> None:
        tables = self.tables(jobs=1, tasks=MAX_TASKS, checkpoint_digits=2_000)
        rows = self.written(tables)
        stored = [task for row in rows for task in row.tasks]
        self.assertEqual(MAX_TASKS, len(stored))
        self.assertEqual({""}, {task.checkpoint for task in stored})

    def test_a_checkpoint_of_half_a_row(self) -> None:
        tables = self.tables(jobs=1, tasks=3, checkpoint_digits=30_000)
        rows = self.written(tables)
        stored = [task.checkpoint for row in rows for task in row.tasks]
        self.assertEqual(3, len(stored))
        self.assertNotIn("", stored)

    def test_many_jobs_with_long_checkpoints(self) -> None:
        tables = self.tables(jobs=60, tasks=10, checkpoint_digits=5_000)
        rows = self.written(tables)
        self.assertGreater(len(rows), 1)
        self.assertLess(len(rows), 60)
