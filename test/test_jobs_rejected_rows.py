"""Tests that rows which the store rejects do not hold back the others.

A transaction holds the rows of many jobs and the renewal of the owner row. The store
applies all of it or nothing, so one row that it rejects stopped all jobs (LOST).
"""

from __future__ import annotations

import testtools

from bulrushpulley.entities.jobs.calls import JobAccepted, TryLater
from bulrushpulley.entities.jobs.rows import (
    BACKLOG_KEY,
    BacklogRow,
    JobState,
    job_key,
    progress_key,
)
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER
from bulrushpulley.systems.scheduling.isolating import WITHHOLD_TIME_S
from test.jobs_world import QUEUE, JobsWorld, step

BAD_JOB, FIRST_JOB, LAST_JOB = 1, 2, 9
SHORT = "0.5"
# A run, its end, and one transaction for each suspect.
JOBS_S = 3.0


class RejectedRowTest(testtools.TestCase):
    """The store rejects a row for a reason of its own."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=2, hosts=3)
        self.world.run(3.0)
        self.epoch = self.epoch_of_owner()

    def epoch_of_owner(self) -> int:
        """Return the epoch of the owner."""
        process = self.world.process_by_name[self.world.owner()]
        epoch: int = process.instance_by_role[SCHEDULER].tables.epoch
        return epoch

    def submit_others(self) -> list[str]:
        """Submit jobs whose rows the store takes."""
        return [
            self.world.submit(number, step(2), payload=SHORT)
            for number in range(FIRST_JOB, LAST_JOB)
        ]

    def assert_complete(self, jobs: list[str]) -> None:
        """Check that jobs are complete, and that the owner was not replaced."""
        states = {self.world.state_of(job) for job in jobs}
        self.assertEqual({JobState.COMPLETED}, states)
        self.assertEqual(self.epoch, self.epoch_of_owner())

    def test_the_progress_of_a_job(self) -> None:
        bad_key = progress_key(f"{BAD_JOB:016x}")
        self.world.store.rejected_keys.add(bad_key)
        bad = self.world.submit(BAD_JOB, step(2), payload=SHORT)
        others = self.submit_others()
        self.world.run(JOBS_S)
        self.assert_complete(others)
        # It is tried alone, now and then.
        self.world.run(2 * WITHHOLD_TIME_S)
        self.assertLess(len(self.world.store.refusals), 8)
        self.world.store.rejected_keys.clear()
        self.world.run(WITHHOLD_TIME_S + JOBS_S)
        self.assert_complete([bad, *others])
        self.assertEqual([], self.world.violations)

    def test_the_row_of_the_backlog(self) -> None:
        self.world.store.rejected_keys.add(BACKLOG_KEY)
        self.assert_complete_after_run(self.submit_others())
        waiting = self.world.submit(LAST_JOB, step(1, needs_label="none"))
        self.world.store.rejected_keys.clear()
        self.world.run(WITHHOLD_TIME_S + JOBS_S)
        row = self.world.store.row_by_key[BACKLOG_KEY].row
        assert isinstance(row, BacklogRow)
        self.assertEqual({QUEUE.name: 1}, dict(row.waiting))
        self.assertIsNone(self.world.state_of(waiting))

    def assert_complete_after_run(self, jobs: list[str]) -> None:
        """Check that jobs are complete soon."""
        self.world.run(JOBS_S)
        self.assert_complete(jobs)

    def test_a_submission(self) -> None:
        self.world.store.rejected_keys.add(job_key(f"{BAD_JOB:016x}"))
        self.world.submit(BAD_JOB, step(2), payload=SHORT)
        others = self.submit_others()
        self.assert_complete_after_run(others)
        answers = [type(answer) for answer in self.world.answers]
        self.assertEqual(len(others), answers.count(JobAccepted))
        self.assertEqual(1, answers.count(TryLater))
