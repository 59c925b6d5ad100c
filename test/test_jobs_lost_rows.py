"""Tests that a row heals that a watch has missed once, whatever follows it.

The watch of a table reads each change once. What comes after a missed row may be read
before it is read a second time, and a row may change although its host is known.
"""

from __future__ import annotations

from collections.abc import Callable

import testtools

from bulrushpulley.entities.jobs.configuration import Evacuation
from bulrushpulley.entities.jobs.rows import CancelRow, HostRow, JobRow
from bulrushpulley.entities.jobs.store import StoreCommand, StoredRow, Watch
from test.jobs_world import JobsWorld, step

HOST = "z0-0"
# The platform calls a job lost of which nothing runs for this long beside free room.
MAX_IDLE_S = 3.0
# Evacuations and cancellations have to be in force within this time.
MAX_IN_FORCE_S = 3.0
SAMPLE_INTERVAL_S = 0.05


class LostRowTest(testtools.TestCase):
    """The first answer to a watch that has a row is without it."""

    def lose_row(
        self, world: JobsWorld, role: str, is_lost: Callable[[object], bool]
    ) -> list[object]:
        """Hide the first such row from the first watch of a role that has it."""
        lost: list[object] = []

        def hides(call: StoreCommand, stored: StoredRow) -> bool:
            is_watch = isinstance(call, Watch) and call.role == role
            if lost or not is_watch or not is_lost(stored.row):
                return False
            lost.append(stored.row)
            return True

        world.hides = hides
        return lost

    def test_a_job_that_is_cancelled_before_its_row_is_read_again(self) -> None:
        for tenths in range(0, 16, 2):
            world = JobsWorld(entries=1, hosts=1)
            world.run(2.0 + tenths / 10)
            lost = self.lose_row(
                world, "scheduler", lambda row: isinstance(row, JobRow)
            )
            job_id = world.submit(1, step(1, lasting=True), payload="60")
            world.run(0.3)
            world.store.put(CancelRow(job_id=job_id))
            world.run(MAX_IN_FORCE_S)
            self.assertEqual(1, len(lost))
            run_by_key = world.executor_by_host[HOST].run_by_key
            self.assertEqual({}, run_by_key, f"submitted at {2.0 + tenths / 10} s")

    def test_ends_on_a_host_that_the_owner_does_not_reach(self) -> None:
        world = JobsWorld(entries=1, hosts=2)
        world.run(2.0)
        lost = self.lose_row(
            world,
            "scheduler",
            lambda row: isinstance(row, HostRow) and bool(row.ends),
        )
        # The last row of the host tells of the end, as nothing else runs there.
        world.submit(1, step(1), step(1, after=(0,)), payload="6.0")
        world.run(0.5)
        (host,) = [
            name for name, known in world.executor_by_host.items() if known.run_by_key
        ]
        world.cut_pair(host, world.owner())
        executors = world.executor_by_host.values()
        worst_s, idle_since, until = 0.0, world.now, world.now + 25.0
        while world.now < until and not world.all_complete():
            world.run(SAMPLE_INTERVAL_S)
            if any(executor.run_by_key for executor in executors):
                idle_since = world.now
            worst_s = max(worst_s, world.now - idle_since)
        self.assertEqual(1, len(lost))
        self.assertLess(worst_s, MAX_IDLE_S)
        self.assertTrue(world.all_complete())

    def check_evacuation(self, *, is_lost: bool) -> None:
        """Check that nothing starts in a failure domain after its evacuation."""
        world = JobsWorld(entries=1, hosts=1)
        world.run(2.0)
        lost = self.lose_row(
            world, "intake", lambda row: is_lost and isinstance(row, Evacuation)
        )
        world.evacuate("z0")
        world.run(MAX_IN_FORCE_S)
        world.submit(1, step(1, lasting=True), payload="60")
        world.run(1.0)
        self.assertEqual(is_lost, bool(lost))
        self.assertEqual({}, world.executor_by_host[HOST].run_by_key)

    def test_an_evacuation_that_is_read(self) -> None:
        self.check_evacuation(is_lost=False)

    def test_the_evacuation_of_a_failure_domain(self) -> None:
        self.check_evacuation(is_lost=True)
