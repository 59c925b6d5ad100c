"""Tests of an owner row that another client of the store has removed.

Any client of the store may write into the tables of owners. A removed row looks like
that of a shard that never had an owner.
"""

from __future__ import annotations

import testtools

from bulrushpulley.entities.jobs.rows import OWNER_KEY
from bulrushpulley.entities.jobs.store import Purpose, Transact
from test.jobs_world import JobsWorld, step

HOST = "z0-0"
LONG = "60.0"


class OwnerRowRemovedTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=2, hosts=3)
        self.world.run(2.0)
        self.world.submit(1, step(9), payload=LONG)
        self.world.run(1.0)
        self.assertEqual(9, self.world.starts)

    def remove_owner_row(self) -> None:
        """Remove the owner row as another client of the store."""
        removal = Transact(
            role="another client",
            purpose=Purpose(),
            timeout_s=1.0,
            conditions=(),
            puts=(),
            deletes=(OWNER_KEY,),
        )
        self.world.store.transact(removal)

    def test_agents_of_the_former_owner_are_waited_for(self) -> None:
        # They may renew leases as if the row were still there.
        former = self.world.owner()
        successor = "entry-1" if former == "entry-0" else "entry-0"
        self.world.cut_pair(successor, HOST)
        self.world.cut_off_from_store.add(former)
        self.remove_owner_row()
        self.world.run(25.0)
        self.assertEqual([], self.world.violations)
        self.assertGreater(self.world.starts, 9)


class ShardWithoutOwnerTest(testtools.TestCase):
    """The first owner of a shard has nobody to wait for."""

    def test_the_first_tasks_start_at_once(self) -> None:
        world = JobsWorld(entries=2, hosts=3)
        world.run(1.0)
        world.submit(1, step(9), payload="1.0")
        self.assertTrue(world.run_until(world.all_complete, 4.0))
