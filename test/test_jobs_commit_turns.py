"""Tests that each job's progress is written in turn while many are to be written.

A transaction holds a limited number of jobs. While a slow store has more of them wait
than fit, a job that is passed over by each transaction would neither start its tasks
nor have their ends acknowledged, for as long as others change.
"""

from __future__ import annotations

from collections import Counter

import testtools

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.rows import ProgressRow
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER, SchedulerTables
from bulrushpulley.entities.jobs.store import Transacted
from bulrushpulley.systems.scheduling import committing, edits
from bulrushpulley.systems.scheduling.events import apply
from test.jobs_world import JobsWorld, step

JOBS = 300
# 300 jobs in transactions of at most 90.
TRANSACTIONS_FOR_ALL = 4
TRANSACTION_S = 0.02


class CommitTurnsTest(testtools.TestCase):
    """An owner of more jobs than a transaction holds, all of which change again."""

    def setUp(self) -> None:
        super().setUp()
        world = JobsWorld(entries=1, hosts=0)
        world.run(2.0)
        for number in range(1, JOBS + 1):
            world.submit(number, step(1))
        world.run(5.0)
        self.now = world.now
        process = world.process_by_name[world.owner()]
        tables: SchedulerTables = process.instance_by_role[SCHEDULER].tables
        self.assertEqual(JOBS, len(tables.jobs))
        # What the world has in flight would not be answered any more.
        self.tables = replace(tables, commit=None)

    def mark_all(self) -> None:
        for job_id in self.tables.jobs:
            self.tables = edits.mark_dirty(self.tables, job_id)

    def answer(self) -> list[str]:
        """Answer the transaction in flight; return the jobs that it holds."""
        self.now += TRANSACTION_S
        commit = self.tables.commit
        assert commit is not None
        transact = commit.transact
        answer = Transacted(purpose=transact.purpose, version=self.tables.epoch)
        self.tables = apply(answer, self.tables, self.now).tables
        return [row.job_id for row in transact.puts if isinstance(row, ProgressRow)]

    def test_no_job_is_passed_over_while_others_change(self) -> None:
        self.mark_all()
        self.tables = committing.run(self.tables, self.now).tables
        written: Counter[str] = Counter()
        rounds = 3
        for _ in range(rounds * TRANSACTIONS_FOR_ALL):
            self.mark_all()
            written.update(self.answer())
        passed_over = [job_id for job_id in self.tables.jobs if not written[job_id]]
        self.assertEqual(0, len(passed_over))
        self.assertLessEqual(rounds - 1, min(written.values()))
