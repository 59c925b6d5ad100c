"""Tests a task in an owned cell from start to end without faults."""

from __future__ import annotations

import testtools

from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import TaskState
from bulrushpulley.entities.worker_calls import RequestReport
from test.cell_bench import CellBench


def reports(bench: CellBench) -> int:
    return sum(1 for _, _, c in bench.commands if isinstance(c, RequestReport))


class FaultFreeTaskTest(testtools.TestCase):
    def test_a_task_is_started_finishes_and_is_done(self) -> None:
        bench = CellBench()
        bench.put_job("curves", run_s=5.0)
        bench.start_agent("a")
        bench.run(20.0)
        self.assertEqual([], bench.violations)
        self.assertEqual(TaskState.FINISHED, bench.done("curves/0"))
        self.assertIsNone(bench.row("task/c0/curves/0"))
        self.assertEqual(0, len(bench.workers["w0"].runs))
        self.assertEqual("a", bench.row("lease/c0").owner)
        self.assertTrue(bench.summaries)

    def test_many_steady_runs_are_reported_less_often(self) -> None:
        counts = []
        for tasks in (4, 25):
            bench = CellBench(workers=1)
            size = Resources(processors_m=100, memory_mb=100)
            bench.put_job("curves", tasks=tasks, run_s=500.0, size=size)
            bench.start_agent("a")
            bench.run(10.0)
            before = reports(bench)
            bench.run(30.0)
            counts.append(reports(bench) - before)
        few, many = counts
        self.assertIn(few, range(27, 31))
        self.assertIn(many, range(10, 13))
