"""Tests of how long running tasks survive while the store is away, and of its return.

A transaction that was sent while the store did not answer had its whole timeout, 3 s,
before it was sent again, so a step that was to begin waited on after the store was back
(LOST at the end of a day: "could run and doesn't").
"""

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


# A job with nothing running for 3 s counts as lost; a second is left for the start.
MAX_IDLE_AFTER_OUTAGE_S = 2.0
STEP_S = 1.0


class StoreBackTest(testtools.TestCase):
    def time_to_start(self, outage_s: float) -> float:
        """Return how long after the outage the second step of a job has started.

        The first step ends soon after the store has ceased to answer.
        """
        world = JobsWorld(entries=len(ENTRIES), hosts=4)
        world.run(3.0)
        world.submit(1, step(4), step(6, after=(0,)), payload=f"{STEP_S}")
        world.run(0.8)
        self.assertEqual(4, world.starts)
        world.cut_off_from_store.update(ENTRIES)
        world.run(outage_s)
        world.cut_off_from_store.clear()
        back_at = world.now
        self.assertTrue(world.run_until(lambda: world.starts == 10, 10.0))
        self.assertEqual([], world.violations)
        return world.now - back_at

    def test_a_step_begins_soon_after_the_store_is_back(self) -> None:
        # The retries are sent 0.4 s, 1.2 s, 2.8 s and 5.8 s after the first attempt.
        late = {
            outage_s: waited_s
            for outage_s in (1.0, 2.0, 3.0, 3.5, 4.0, 4.5, 5.0, 6.0, 6.5, 7.0)
            if (waited_s := self.time_to_start(outage_s)) > MAX_IDLE_AFTER_OUTAGE_S
        }
        self.assertEqual({}, late)


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
