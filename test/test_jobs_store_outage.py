"""Tests of how long running tasks survive while the store is away."""

from __future__ import annotations

import testtools

from test.jobs_world import JobsWorld, step

LONG = "60.0"
ENTRIES = ("entry-0", "entry-1", "entry-2")
# Measured: 9.0 s with refusals and 8.5 s without answers cost nothing in any phase of
# the renewals; 10.0 s cost every task.
SURVIVED_OUTAGE_S = 8.5
# The owner renews each 0.8 s.
PHASES_S = (0.0, 0.3, 0.6)


class StoreOutageTest(testtools.TestCase):
    def world_with_tasks(self, phase_s: float) -> JobsWorld:
        """Return a site with nine running tasks."""
        world = JobsWorld(entries=len(ENTRIES), hosts=4)
        world.run(3.0)
        world.submit(1, step(9), payload=LONG)
        world.run(2.0 + phase_s)
        self.assertEqual(9, world.starts)
        return world

    def test_no_run_ends_while_the_store_refuses_all_calls(self) -> None:
        for phase_s in PHASES_S:
            world = self.world_with_tasks(phase_s)
            world.store_up = False
            world.run(SURVIVED_OUTAGE_S)
            world.store_up = True
            world.run(15.0)
            self.assertEqual(9, world.starts)

    def test_no_run_ends_while_the_store_does_not_answer(self) -> None:
        for phase_s in PHASES_S:
            world = self.world_with_tasks(phase_s)
            world.cut_off_from_store.update(ENTRIES)
            world.run(SURVIVED_OUTAGE_S)
            world.cut_off_from_store.clear()
            world.run(15.0)
            self.assertEqual(9, world.starts)
