"""Tests of an owner before the last one that still renews leases of a cell's tasks.

An owner that is cut off from the store may renew for longer than its successor owns the
cell. A next owner that took its predecessor for the only former owner started tasks
again that still ran.
"""

from __future__ import annotations

from typing import Any

import testtools

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.owner_times import (
    CLOCK_DRIFT_MARGIN_S,
    TASK_LEASE_S,
    WORKER_UNREACHABLE_TIMEOUT_S,
)
from bulrushpulley.entities.rows import AliveRow
from test.cell_bench import CellBench, cell_owner_address

AUTONOMY_S = 300.0
# The cell's takeover timeout and a few reads.
TAKEOVER_S = 30.0


class OwnerBeforeTheLastTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.bench = CellBench()
        self.bench.put_job("curves", run_s=1_000.0)
        self.bench.start_agent("a", autonomy_s=AUTONOMY_S)
        self.bench.run(5.0)
        self.bench.cut_off = {("a", "store"), ("b", "w0"), ("c", "w0")}
        self.bench.start_agent("b", autonomy_s=AUTONOMY_S)
        self.bench.run(TAKEOVER_S)
        self.assertEqual("b", self.bench.row("lease/c0").owner)
        self.assertEqual(["w0"], self.bench.running("curves/0"))

    def test_it_is_waited_for_after_its_successor_was_restarted(self) -> None:
        self.bench.start_agent("b", incarnation_number=2, autonomy_s=AUTONOMY_S)
        self.bench.run(120.0)
        self.assertEqual([], self.bench.violations[:1])

    def test_it_is_waited_for_after_its_successor_released_the_cell(self) -> None:
        self.bench.world.deliver(cell_owner_address("b"), Leave())
        self.bench.run(5.0)
        self.bench.start_agent("c", autonomy_s=AUTONOMY_S)
        self.bench.run(120.0)
        self.assertEqual("c", self.bench.row("lease/c0").owner)
        self.assertEqual([], self.bench.violations[:1])

    def test_it_is_waited_for_while_its_successor_owns_the_cell(self) -> None:
        self.bench.run(120.0)
        self.assertEqual([], self.bench.violations[:1])

    def test_it_is_waited_for_if_an_earlier_version_wrote_the_row(self) -> None:
        self.check_with_row(former_renewals_for_s=None, alive_renewals=None)

    def test_it_is_waited_for_beside_a_negative_duration(self) -> None:
        self.check_with_row(former_renewals_for_s=-1.0)

    def test_it_is_waited_for_beside_a_negative_number_of_renewals(self) -> None:
        self.check_with_row(alive_renewals=-1_000)

    def test_it_is_waited_for_beside_a_huge_number_of_renewals(self) -> None:
        row = replace(self.bench.row("alive/b"), renewals=10**400)
        self.bench.world.kill("b")
        self.bench.put("alive/b", row)
        self.check_with_row()

    def check_with_row(self, **changes: Any) -> None:
        """Check that the owner cut off is waited for if the lease row is changed."""
        row = replace(self.bench.row("lease/c0"), **changes)
        self.bench.world.kill("b")
        self.bench.put("lease/c0", row)
        self.bench.start_agent("b", incarnation_number=2, autonomy_s=AUTONOMY_S)
        self.bench.run(120.0)
        self.assertEqual("b#2", self.bench.row("lease/c0").incarnation)
        self.assertEqual([], self.bench.violations[:1])

    def test_it_is_waited_for_after_two_restarts_of_its_successor(self) -> None:
        for incarnation_number in (2, 3):
            self.bench.start_agent(
                "b", incarnation_number=incarnation_number, autonomy_s=AUTONOMY_S
            )
            self.bench.run(60.0)
        self.bench.run(60.0)
        self.assertEqual("b#3", self.bench.row("lease/c0").incarnation)
        self.assertEqual([], self.bench.violations[:1])

    def test_it_is_waited_for_by_another_agent_after_its_successor_restarted(
        self,
    ) -> None:
        self.bench.world.kill("b")
        self.bench.put("alive/b", AliveRow(agent="b", incarnation="b#2", renewals=90))
        self.bench.start_agent("c", autonomy_s=AUTONOMY_S)
        self.bench.run(120.0)
        self.assertEqual("c", self.bench.row("lease/c0").owner)
        self.assertEqual([], self.bench.violations[:1])


class NoOwnerBeforeTheLastTest(testtools.TestCase):
    """The wait is that for the task lease if no owner before the last one may act."""

    # The last term is for reads and the tasks' placement.
    LEASE_WAIT_S = (
        WORKER_UNREACHABLE_TIMEOUT_S + TASK_LEASE_S + CLOCK_DRIFT_MARGIN_S + 5.0
    )

    def setUp(self) -> None:
        super().setUp()
        self.bench = CellBench()
        self.bench.put_job("curves", run_s=5_000.0)
        self.bench.start_agent("a", autonomy_s=AUTONOMY_S)
        self.bench.run(5.0)

    def lose_worker(self) -> None:
        """Cut off the task's worker for good."""
        (worker,) = self.bench.running("curves/0")
        self.bench.unreachable = {worker}

    def assert_started_again_soon(self) -> None:
        """Check that the task has started again after the lease and no earlier."""
        self.bench.run(self.LEASE_WAIT_S)
        self.assertEqual([1, 2], [start.generation for start in self.bench.starts])
        self.assertEqual([], self.bench.violations)

    def test_after_a_restart(self) -> None:
        self.lose_worker()
        self.bench.start_agent("a", incarnation_number=2, autonomy_s=AUTONOMY_S)
        self.assert_started_again_soon()

    def test_after_a_release(self) -> None:
        self.bench.world.deliver(cell_owner_address("a"), Leave())
        self.bench.run(5.0)
        self.lose_worker()
        self.bench.start_agent("c", autonomy_s=AUTONOMY_S)
        self.assert_started_again_soon()

    def take_over(self) -> None:
        """End the owner, and let another own the cell until its autonomy has passed."""
        self.bench.world.kill("a")
        self.bench.start_agent("b", autonomy_s=AUTONOMY_S)
        self.bench.run(AUTONOMY_S + TAKEOVER_S)
        self.assertEqual("b", self.bench.row("lease/c0").owner)
        self.lose_worker()

    def test_after_a_restart_once_the_autonomy_of_a_former_owner_has_passed(
        self,
    ) -> None:
        self.take_over()
        self.bench.start_agent("b", incarnation_number=2, autonomy_s=AUTONOMY_S)
        self.assert_started_again_soon()

    def test_after_a_release_once_the_autonomy_of_a_former_owner_has_passed(
        self,
    ) -> None:
        self.take_over()
        self.bench.world.deliver(cell_owner_address("b"), Leave())
        self.bench.run(5.0)
        self.bench.start_agent("c", autonomy_s=AUTONOMY_S)
        self.assert_started_again_soon()
