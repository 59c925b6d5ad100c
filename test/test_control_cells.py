"""Members, offers of cells, and the closing of cancelled jobs."""

from __future__ import annotations

import testtools

from bulrushpulley.entities import operations as ops
from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.link import (
    Entries,
    JobCancelled,
    LinkDown,
    LinkUp,
    Offer,
    Send,
)
from bulrushpulley.entities.pending import CloseTasks
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import BacklogRow, TaskRow
from bulrushpulley.entities.step import Command
from bulrushpulley.systems.control import assign as control_assign
from bulrushpulley.systems.control import closing as control_closing
from bulrushpulley.systems.control import members as control_members
from bulrushpulley.systems.control.plans import job_spec
from test.control_bench import (
    Bench,
    announce,
    cell,
    domain,
    job,
    submit_record,
    summary,
    with_cells,
)


def is_cancellation_notice(command: Command) -> bool:
    return isinstance(command, Send) and isinstance(command.item, JobCancelled)


class MembersTest(testtools.TestCase):
    def live(self, bench: Bench, name: str = "a") -> tuple[str, ...]:
        return control_members.live_entries(bench.tables[name])

    def test_an_entry_that_stops_renewing_is_left_out_after_15_s(self) -> None:
        bench = Bench(entries=("a", "b"))
        bench.run(2.0)
        bench.tell("a", LinkUp(peer="agent-1", region="ege"))
        bench.run(1.0)
        self.assertEqual(("a", "b"), self.live(bench))
        bench.stop("b")
        bench.run(13.0)
        self.assertEqual(("a", "b"), self.live(bench))
        bench.run(8.0)
        self.assertEqual(("a",), self.live(bench))
        lists = [
            [one.name for one in item.entries] for item in bench.sent_items(Entries)
        ]
        self.assertEqual([["a", "b"], ["a"]], lists)

    def live_entries_over_an_outage(self) -> tuple[str, ...]:
        bench = Bench(entries=("a", "b"))
        bench.run(2.0)
        bench.mode = "down"
        bench.run(60.0)
        before = self.live(bench)
        bench.mode = "up"
        for _ in range(30):
            bench.step()
            self.assertEqual(before, self.live(bench))
        return before

    def test_the_last_list_of_entries_is_kept_during_an_outage(self) -> None:
        self.assertEqual(("a", "b"), self.live_entries_over_an_outage())

    def test_without_the_gap_limit_an_outage_would_empty_the_list(self) -> None:
        self.patch(control_members, "MAX_COUNTED_GAP_S", 1e9)
        with self.assertRaises(AssertionError):
            self.live_entries_over_an_outage()

    def test_a_leaving_entry_is_left_out_immediately(self) -> None:
        bench = Bench(entries=("a", "b"))
        bench.run(7.0)
        bench.tell("b", LinkUp(peer="agent-1", region="ege"))
        bench.tell("b", Leave())
        bench.run(2.5)
        last = bench.sent_items(Entries)[-1]
        self.assertEqual(["a"], [one.name for one in last.entries])
        self.assertEqual(("a",), self.live(bench))
        bench.run(10.0)
        self.assertEqual(["member/a"], list(bench.rows("member/")))

    def test_a_restarted_entry_takes_over_its_member_row(self) -> None:
        bench = Bench(entries=("a",))
        bench.run(2.0)
        bench.stop("a")
        bench.start("a", "a-2")
        bench.run(3.0)
        row = bench.rows("member/")["member/a"]
        self.assertEqual("a-2", getattr(row, "incarnation", ""))


class OffersTest(testtools.TestCase):
    def offered(self, bench: Bench) -> list[str]:
        sends = [one for one in bench.commands_of(Send) if isinstance(one.item, Offer)]
        return [one.peer for one in sends]

    def test_an_unowned_cell_is_offered_outside_its_domain_first(
        self,
    ) -> None:
        bench = Bench()
        bench.call("a", submit_record(domain("izmir")))
        bench.call("a", submit_record(cell("r1", "izmir")))
        for name, where in (("near", "izmir"), ("far", "manisa")):
            bench.tell("a", LinkUp(peer=name, region="ege"), announce(name, where))
        bench.tell("a", LinkUp(peer="abroad", region="marmara"))
        bench.run(30.0)
        found = self.offered(bench)
        self.assertEqual(["far", "near"], found[:2])
        self.assertNotIn("abroad", found)
        self.assertLess(len(found), 8)

    def test_a_cell_is_not_offered_while_its_owner_sends_summaries(self) -> None:
        bench = Bench()
        with_cells(bench, {"r1": "izmir"}, summary)
        for _ in range(6):
            bench.tell("a", summary("r1", "izmir"))
            bench.run(5.0)
        self.assertEqual([], self.offered(bench))
        bench.tell("a", LinkDown(peer="agent-1"))
        bench.tell("a", LinkUp(peer="agent-2", region="ege"), announce("agent-2"))
        bench.run(3.0)
        self.assertEqual(["agent-2"], self.offered(bench))

    def test_cells_are_offered_evenly(self) -> None:
        bench = Bench()
        bench.call("a", submit_record(domain("izmir")))
        for number in range(6):
            bench.call("a", submit_record(cell(f"r{number}", "izmir")))
        for name in ("x", "y", "z"):
            bench.tell("a", LinkUp(peer=name, region="ege"), announce(name, "manisa"))
        bench.run(2.9)
        found = self.offered(bench)
        self.assertEqual({"x": 2, "y": 2, "z": 2}, {n: found.count(n) for n in "xyz"})


class ClosingTest(testtools.TestCase):
    def cancel(self, bench: Bench, name: str) -> ops.Accepted:
        call = ops.CancelJob(call_id=f"cancel-{name}", author="amina", job=name)
        answer = bench.call("a", call)
        assert isinstance(answer, ops.Accepted), answer
        return answer

    def write_outcomes(self, bench: Bench) -> None:
        """Write outcomes for assigned tasks, as owners do on `JobCancelled`."""
        for key, row in bench.rows("task/").items():
            assert isinstance(row, TaskRow)
            bench.write(key, None)
            bench.write(f"done/{row.spec.task_id}", row)

    def test_owners_are_notified_of_a_cancelled_job_until_every_task_has_ended(
        self,
    ) -> None:
        bench = Bench()
        room = Resources(processors_m=3_000, memory_mb=64_000)
        with_cells(bench, {"r1": "izmir"}, lambda n, d: summary(n, d, free=room))
        bench.call("a", submit_record(job("bread", 10)))
        bench.run(1.0)
        self.assertEqual(3, len(bench.rows("task/")))
        self.cancel(bench, "bread")
        bench.run(10.0)
        self.assertGreater(len(bench.sent_items(JobCancelled)), 2)
        self.assertIn("backlog/bread/closing", bench.rows("backlog/"))
        self.write_outcomes(bench)
        bench.run(20.0)
        self.assertEqual({}, bench.rows("backlog/"))
        notices_sent = len(bench.sent_items(JobCancelled))
        bench.run(60.0)
        self.assertEqual(notices_sent, len(bench.sent_items(JobCancelled)))
        status = bench.call("a", ops.AskStatus(call_id="s", author="x", job="bread"))
        found = status.jobs[0]
        self.assertEqual((10, 0, 0), (found.tasks, found.waiting, found.held))

    def test_another_entry_finishes_the_closing_of_a_crashed_one(self) -> None:
        bench = Bench(entries=("a", "b"))
        with_cells(bench, {"r1": "izmir"}, summary)
        bench.call("a", submit_record(job("bread", 3)))
        bench.run(1.0)
        self.cancel(bench, "bread")
        bench.stop("a")
        bench.run(25.0)
        self.assertGreater(
            len([c for n, c in bench.sent if n == "b" and is_cancellation_notice(c)]), 0
        )
        self.write_outcomes(bench)
        bench.run(30.0)
        self.assertEqual({}, bench.rows("backlog/"))

    def tasks_assigned_by_a_stale_entry(self) -> int:
        bench = Bench(entries=("a", "b"))
        self.patch(control_assign, "is_responsible", lambda tables, name: False)
        self.patch(control_closing, "is_responsible", lambda tables, name: False)
        with_cells(bench, {"r1": "izmir"}, summary)
        bench.call("a", submit_record(job("bread", 5)))
        bench.run(1.0)
        bench.paused.add("b")
        self.cancel(bench, "bread")
        bench.run(2.0)
        bench.paused.discard("b")
        bench.inbox["b"].clear()
        self.patch(control_assign, "is_responsible", lambda tables, name: True)
        bench.run(4.0)
        return len(bench.rows("task/"))

    def test_a_stale_entry_assigns_no_task_of_a_cancelled_job(self) -> None:
        self.assertEqual(0, self.tasks_assigned_by_a_stale_entry())

    def test_without_conditions_a_cancelled_job_would_be_assigned(self) -> None:
        self.patch(control_assign, "conditions_of", lambda *args: ())
        self.assertGreater(self.tasks_assigned_by_a_stale_entry(), 0)

    def peak_transactions(self) -> int:
        bench = Bench()
        with_cells(
            bench,
            {"r1": "izmir"},
            lambda n, d: summary(n, d, free=Resources()),
        )
        for number in range(150):
            bench.tell("a", submit_record(job(f"j{number}", 1_000)))
        bench.run(1.0)
        for number in range(150):
            call = ops.CancelJob(call_id=f"c{number}", author="x", job=f"j{number}")
            bench.tell("a", call)
        peak = 0
        for _ in range(100):
            transactions_before = bench.transactions
            bench.run(0.5)
            peak = max(peak, bench.transactions - transactions_before)
        self.assertEqual({}, bench.rows("backlog/"))
        self.assertEqual({}, bench.rows("task/"))
        done = bench.rows("done/").values()
        tasks = sum(row.count for row in done if isinstance(row, BacklogRow))
        self.assertEqual(150_000, tasks)
        return peak

    def test_simultaneous_cancellations_stay_within_the_transaction_limit(self) -> None:
        self.assertLess(self.peak_transactions(), 400)

    def test_closings_in_flight_are_bounded(self) -> None:
        bench = Bench()
        bench.mode = "lose_answers"
        for number in range(50):
            spec = job_spec(job(f"j{number}"))
            row = BacklogRow(spec=spec, count=1)
            bench.write(f"backlog/j{number}/closing", row)
            bench.write(f"backlog/j{number}/0", row)
        bench.run(3.0)
        kind = CloseTasks.__name__
        in_flight = bench.tables["a"].pending.count_where("purpose", kind)
        self.assertLessEqual(in_flight, control_closing.MAX_CLOSINGS_IN_FLIGHT)
