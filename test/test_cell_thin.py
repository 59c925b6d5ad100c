"""The path of a task through an owned cell without faults."""

from __future__ import annotations

import testtools

from bulrushpulley.entities.rows import TaskState
from test.cell_bench import CellBench


class ThinPathTest(testtools.TestCase):
    def test_a_task_is_started_finishes_and_is_done(self) -> None:
        bench = CellBench()
        bench.job("curves", run_s=5.0)
        bench.agent("a")
        bench.run(20.0)
        self.assertEqual([], bench.violations)
        self.assertEqual(TaskState.FINISHED, bench.done("curves/0"))
        self.assertIsNone(bench.row("task/c0/curves/0"))
        self.assertEqual(0, len(bench.workers["w0"].runs))
        self.assertEqual("a", bench.row("lease/c0").owner)
        self.assertTrue(bench.summaries)
