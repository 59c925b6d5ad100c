"""Test of the controller from a submitted record to an assignment to a cell."""

from __future__ import annotations

import testtools

from bulrushpulley.entities import operations as ops
from bulrushpulley.entities.link import Assigned
from test.control_bench import Bench, job, submit_record, summary, with_cells


class EndToEndTest(testtools.TestCase):
    def test_a_submitted_job_is_assigned_to_the_owner_of_a_cell(self) -> None:
        bench = Bench()
        with_cells(bench, {"r1": "izmir"}, summary)
        answer = bench.call("a", submit_record(job("bread", 3)))
        self.assertIsInstance(answer, ops.Accepted)
        bench.run(1.0)
        keys = {row.key for item in bench.sent_items(Assigned) for row in item.rows}
        self.assertEqual({f"task/r1/bread/{n}" for n in range(3)}, keys)
        self.assertEqual(keys, set(bench.rows("task/")))
        self.assertEqual({}, bench.rows("backlog/"))
