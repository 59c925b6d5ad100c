"""Tests of an owner before the last one that still renews leases of a cell's tasks.

The lease row of a cell tells the next owner of the last owner's autonomy only. An owner
that is cut off from the store may renew for longer than its successor owns the cell.
"""

from __future__ import annotations

import testtools

from bulrushpulley.entities.lifecycle import Leave
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
