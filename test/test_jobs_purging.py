"""Tests that a job whose rows could not be removed does not run again.

A job is removed from memory and the store some time after its end. If the store does
not take that, its row is read again as soon as the table is, after the store has
dropped changes that the owner has not read, and looks like a new one without progress.
"""

from __future__ import annotations

import testtools

from bulrushpulley.entities.jobs.rows import BacklogRow, job_key
from bulrushpulley.entities.jobs.scheduler_tables import CondenseJobRows, DropJobRows
from bulrushpulley.entities.jobs.store import (
    Purpose,
    StoreEvent,
    Transact,
    TransactRefused,
)
from bulrushpulley.systems.scheduling import purging
from test.jobs_store import JobsStore
from test.jobs_world import JobsWorld, step

RETENTION_S = 3.0


class PurgingTest(testtools.TestCase):
    """The store refuses transactions of some purposes for a while."""

    def setUp(self) -> None:
        super().setUp()
        self.patch(purging, "JOB_RETENTION_S", RETENTION_S)
        self.world = JobsWorld(entries=1, hosts=1)
        self.refused: tuple[type[Purpose], ...] = ()
        transact = JobsStore.transact

        def refuse(store: JobsStore, call: Transact) -> StoreEvent:
            if isinstance(call.purpose, self.refused):
                return TransactRefused(purpose=call.purpose, reason="outage")
            return transact(store, call)

        self.patch(JobsStore, "transact", refuse)
        self.world.run(2.0)

    def lose_history(self) -> None:
        """Have the store drop changes before the owner reads them."""
        self.world.store.put(BacklogRow(waiting=()))
        self.world.store.compact()

    def test_a_job_whose_rows_were_not_removed_does_not_run_again(self) -> None:
        self.refused = (CondenseJobRows, DropJobRows)
        job_id = self.world.submit(1, step(1), payload="0.5")
        self.world.run(2.0)
        self.assertTrue(self.world.all_complete())
        self.world.run(RETENTION_S + 2 * purging.PURGE_INTERVAL_S)
        self.lose_history()
        self.world.run(5.0)
        self.assertEqual(1, self.world.starts)
        self.assertEqual([], self.world.violations)
        self.refused = ()
        self.world.run(2 * purging.PURGE_INTERVAL_S)
        self.assertNotIn(job_key(job_id), self.world.store.row_by_key)
        self.assertEqual(1, self.world.starts)
