"""Assignment under faults: races, drains, quotas, crashes and long backlogs."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

import testtools

from bulrushpulley.entities import operations as ops
from bulrushpulley.entities.link import Assigned, CellSummary, DepartmentUse
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.pending import AssignTasks
from bulrushpulley.entities.records import (
    DomainState,
    JobRecord,
    PolicyRecord,
    ServiceRecord,
)
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import (
    BacklogRow,
    RecordRow,
    TaskClass,
    TaskRow,
    TaskSpec,
)
from bulrushpulley.systems.control import assign as control_assign
from bulrushpulley.systems.control import place as control_place
from bulrushpulley.systems.control import plans as control_plans
from bulrushpulley.systems.control import share as control_share
from bulrushpulley.systems.control.plans import job_spec
from test.control_bench import (
    BIG,
    SMALL,
    Bench,
    cell,
    job,
    submit_record,
    summary,
    with_cells,
)

CELLS = {"r1": "izmir", "r2": "izmir", "r3": "manisa", "r4": "manisa"}
NOTHING_FREE = Resources()


def task_row_counts(bench: Bench) -> Counter[str]:
    """Count the task rows of each task over all cells."""
    return Counter(key.split("/", 2)[2] for key in bench.rows("task/"))


def waiting(bench: Bench) -> int:
    rows = bench.rows("backlog/").values()
    return sum(row.count for row in rows if isinstance(row, BacklogRow))


def cells_of(bench: Bench, name: str) -> Counter[str]:
    keys = [key.split("/") for key in bench.rows("task/")]
    return Counter(key[1] for key in keys if key[2] == name)


def service(replicas: int, **more: Any) -> ServiceRecord:
    return ServiceRecord(
        name="oven", department="ovens", replicas=replicas, size=SMALL, **more
    )


def full_summary(name: str, failure_domain: str) -> CellSummary:
    return summary(name, failure_domain, free=NOTHING_FREE, running=3)


class AssignTest(testtools.TestCase):
    def test_tasks_go_to_cells_with_room_and_never_beyond_it(self) -> None:
        bench = Bench()
        room = Resources(processors_m=2_000, memory_mb=64_000)
        with_cells(bench, CELLS, lambda n, d: summary(n, d, free=room))
        bench.call("a", submit_record(job("bread", 20)))
        bench.run(1.0)
        self.assertEqual(dict.fromkeys(CELLS, 2), dict(cells_of(bench, "bread")))
        self.assertEqual(12, waiting(bench))
        explained = bench.call(
            "a", ops.AskExplain(call_id="e", author="x", task_id="bread/19")
        )
        self.assertEqual("waiting", explained.state)
        self.assertIn("room", explained.detail)

    @staticmethod
    def seed(bench: Bench, record: JobRecord) -> None:
        """Put a job into the table service so that all entries read it immediately."""
        row = RecordRow(
            kind="job", schema_version=1, record=record, author="x", revision=0
        )
        bench.write(f"record/job/{record.name}", row)
        spec = replace(job_spec(record), record_version=bench.state.revision)
        bench.write(f"backlog/{record.name}/0", BacklogRow(spec=spec, count=100))

    def check_simultaneous_assignment(self) -> None:
        self.patch(control_assign, "is_responsible", lambda tables, name: True)
        bench = Bench(entries=("a", "b"))
        with_cells(bench, CELLS, summary)
        bench.tell("a", full_summary("r3", "manisa"), full_summary("r4", "manisa"))
        bench.tell("b", full_summary("r1", "izmir"), full_summary("r2", "izmir"))
        self.seed(bench, job("bread", 100))
        bench.run(5.0)
        self.assertEqual({1}, set(task_row_counts(bench).values()))
        self.assertEqual(100, len(task_row_counts(bench)))

    def test_two_entries_assigning_simultaneously_assign_no_task_twice(self) -> None:
        self.check_simultaneous_assignment()

    def test_without_conditions_two_entries_would_assign_tasks_twice(self) -> None:
        self.patch(control_assign, "conditions_of", lambda *args: ())
        with self.assertRaises(AssertionError):
            self.check_simultaneous_assignment()

    def test_an_entry_crash_after_the_commit_neither_loses_nor_repeats_tasks(
        self,
    ) -> None:
        bench = Bench(entries=("a", "b"))
        with_cells(bench, CELLS, summary)
        bench.run(1.0)
        owner = control_share.entry_for("bakery", ("a", "b"))
        other = "b" if owner == "a" else "a"
        bench.call(other, submit_record(job("bread", 100)))
        while not bench.rows("task/"):
            bench.step()
        bench.stop(owner)
        self.assertEqual([], bench.sent_items(Assigned))
        for _ in range(25):
            bench.tell(other, *(summary(n, d) for n, d in CELLS.items()))
            bench.run(1.0)
        self.assertEqual({1}, set(task_row_counts(bench).values()))
        self.assertEqual((100, 0), (len(task_row_counts(bench)), waiting(bench)))

    def test_a_lost_answer_assigns_once(self) -> None:
        bench = Bench()
        with_cells(bench, CELLS, summary)
        bench.call("a", submit_record(job("bread", 100)))
        bench.mode = "lose_answers"
        bench.run(8.0)
        bench.mode = "up"
        bench.tell("a", *(summary(n, d) for n, d in CELLS.items()))
        bench.run(5.0)
        self.assertEqual({1}, set(task_row_counts(bench).values()))
        self.assertEqual((100, 0), (len(task_row_counts(bench)), waiting(bench)))

    def tasks_assigned_to_a_drained_domain(self) -> int:
        bench = Bench()
        with_cells(bench, CELLS, summary)
        drain = ops.ChangeDomain(
            call_id="d",
            author="amina",
            failure_domain="izmir",
            state=DomainState.DRAINED,
            expected_revision=0,
        )
        bench.call("a", drain)
        bench.call("a", submit_record(job("bread", 40)))
        bench.call("a", submit_record(job("rye", 4, failure_domains=("izmir",))))
        bench.run(2.0)
        ask = ops.AskExplain(call_id="e", author="x", task_id="rye/0")
        self.reason = bench.call("a", ask).detail
        found = cells_of(bench, "bread") + cells_of(bench, "rye")
        self.assertEqual(40, found["r3"] + found["r4"] + found["r1"] + found["r2"])
        return found["r1"] + found["r2"]

    def test_a_drained_failure_domain_is_assigned_nothing(self) -> None:
        self.assertEqual(0, self.tasks_assigned_to_a_drained_domain())
        self.assertIn("out of service", self.reason)

    def test_without_the_check_a_drained_domain_would_be_assigned_tasks(self) -> None:
        self.patch(control_place, "in_service", lambda tables, name: True)
        with self.assertRaises(AssertionError):
            self.assertEqual(0, self.tasks_assigned_to_a_drained_domain())

    def test_a_job_too_large_for_any_worker_delays_no_other_job(self) -> None:
        bench = Bench()
        huge = BIG.plus(BIG)
        bench.call("a", submit_record(job("never", 5, size=huge, priority=9)))
        with_cells(bench, CELLS, summary)
        bench.call("a", submit_record(job("bread", 10)))
        bench.run(1.0)
        self.assertEqual(10, sum(cells_of(bench, "bread").values()))
        ask = ops.AskExplain(call_id="e", author="x", task_id="never/0")
        self.assertIn("no allowed worker", bench.call("a", ask).detail)
        status = bench.call("a", ops.AskStatus(call_id="s", author="x", job="never"))
        self.assertEqual(("never", 5), (status.jobs[0].name, status.jobs[0].waiting))
        self.assertIn("no allowed worker", status.jobs[0].note)
        lines = [one for one in bench.commands_of(Decision) if one.subject == "never"]
        self.assertLess(len(lines), 5)

    def tasks_assigned_under_quota(self) -> int:
        bench = Bench()
        with_cells(bench, CELLS, summary)
        quota = Resources(processors_m=7_000)
        policy = PolicyRecord(name="bakery", department="bakery", quota=quota)
        bench.call("a", submit_record(policy))
        for number in range(5):
            bench.call("a", submit_record(job(f"bread{number}", 10)))
        for _ in range(5):
            bench.run(3.0)
            counts = dict.fromkeys(CELLS, 0)
            for key in bench.rows("task/"):
                counts[key.split("/")[1]] += 1
            bench.tell(
                "a", *(self.summary_with_usage(name, counts[name]) for name in CELLS)
            )
        return sum(task_row_counts(bench).values())

    @staticmethod
    def summary_with_usage(name: str, count: int) -> CellSummary:
        used = Resources(processors_m=1_000 * count, memory_mb=1_000 * count)
        uses = (DepartmentUse(department="bakery", committed=used),)
        free = BIG.minus(used)
        return summary(name, CELLS[name], free=free, uses=uses if count else ())

    def test_a_quota_is_a_hard_limit(self) -> None:
        self.assertEqual(7, self.tasks_assigned_under_quota())

    def test_without_the_check_a_quota_would_be_exceeded(self) -> None:
        self.patch(control_place, "tasks_within_quota", lambda tables, spec: 64)
        self.assertEqual(50, self.tasks_assigned_under_quota())

    def test_waiting_tasks_of_a_cell_count_against_the_quota(self) -> None:
        bench = Bench()
        with_cells(bench, CELLS, summary)
        quota = Resources(processors_m=4_000)
        policy = PolicyRecord(name="bakery", department="bakery", quota=quota)
        bench.call("a", submit_record(policy))
        bench.call("a", submit_record(job("bread", 10)))
        bench.run(3.0)
        counts = cells_of(bench, "bread")
        for _ in range(3):
            summaries = (summary(n, d, waiting=counts[n]) for n, d in CELLS.items())
            bench.tell("a", *summaries)
            bench.run(3.0)
        self.assertEqual(4, sum(task_row_counts(bench).values()))

    def test_a_small_department_is_served_beside_a_large_backlog(self) -> None:
        bench = Bench()
        room = Resources(processors_m=10_000, memory_mb=64_000)
        with_cells(bench, CELLS, lambda n, d: summary(n, d, free=room))
        for number in range(40):
            record = job(f"audit{number}", 1, department="audits")
            bench.tell("a", submit_record(record))
        bench.tell("a", submit_record(job("bread", 15)))
        bench.run(2.0)
        self.assertEqual(15, sum(cells_of(bench, "bread").values()))
        self.assertEqual(40, sum(task_row_counts(bench).values()))


class SpreadReplicasTest(testtools.TestCase):
    def test_replicas_are_spread_over_failure_domains_and_cells(self) -> None:
        bench = Bench()
        with_cells(bench, CELLS, summary)
        bench.call("a", submit_record(service(4)))
        bench.run(1.0)
        self.assertEqual(dict.fromkeys(CELLS, 1), dict(cells_of(bench, "oven")))

    def test_a_service_may_displace_batch_where_no_room_is_left(self) -> None:
        bench = Bench()
        with_cells(bench, CELLS, full_summary)
        bench.call("a", submit_record(job("bread", 8)))
        bench.call("a", submit_record(service(2)))
        bench.run(1.0)
        self.assertEqual(2, sum(cells_of(bench, "oven").values()))
        self.assertEqual(0, sum(cells_of(bench, "bread").values()))

    def test_a_cell_without_running_tasks_is_not_chosen_for_displacement(self) -> None:
        bench = Bench()
        with_cells(bench, CELLS, lambda n, d: summary(n, d, free=NOTHING_FREE))
        bench.call("a", submit_record(service(2)))
        bench.run(2.0)
        self.assertEqual(0, sum(cells_of(bench, "oven").values()))

    def amend(self, bench: Bench, replicas: int, call_id: str) -> Any:
        call = ops.AmendRecord(
            call_id=call_id,
            author="amina",
            kind="service",
            schema_version=1,
            record=service(replicas),
            expected_revision=0,
        )
        return bench.call("a", call)

    def scale_down_and_up(self) -> Bench:
        """Scale a service down and up again while owners still stop replicas."""
        bench = Bench()
        with_cells(bench, CELLS, summary)
        bench.call("a", submit_record(service(4)))
        bench.run(1.0)
        self.amend(bench, 2, "down")
        bench.tell("a", full_summary("r1", "izmir"), full_summary("r3", "manisa"))
        self.early_answer = self.amend(bench, 4, "up-early")
        bench.run(2.0)
        return bench

    def test_surplus_replicas_end_before_the_service_is_scaled_up_again(self) -> None:
        bench = self.scale_down_and_up()
        self.assertIsInstance(self.early_answer, ops.Reject)
        self.assertIn("still ending", self.early_answer.problem.detail)
        self.assertIn("backlog/oven/closing", bench.rows("backlog/"))
        self.assertEqual({1}, set(task_row_counts(bench).values()))
        for key, row in bench.rows("task/").items():
            if isinstance(row, TaskRow) and row.spec.index >= 2:
                bench.write(key, None)
                bench.write(f"done/oven/{row.spec.index}", row)
        bench.run(5.0)
        self.assertEqual({}, bench.rows("done/"))
        self.assertIsInstance(self.amend(bench, 4, "up"), ops.Accepted)
        bench.run(2.0)
        self.assertEqual({f"oven/{n}" for n in range(4)}, set(task_row_counts(bench)))
        self.assertEqual({1}, set(task_row_counts(bench).values()))

    def test_without_the_condition_a_closing_would_end_while_replicas_run(self) -> None:
        self.patch(control_plans, "no_closing_conditions", lambda name: ())
        bench = self.scale_down_and_up()
        bench.run(5.0)
        self.assertIsInstance(self.early_answer, ops.Accepted)
        self.assertIn("oven/2", task_row_counts(bench))
        self.assertNotIn("backlog/oven/closing", bench.rows("backlog/"))


class UrgentTest(testtools.TestCase):
    def test_urgent_tasks_are_assigned_before_10_000_waiting_batch_tasks(self) -> None:
        bench = Bench()
        with_cells(bench, CELLS, full_summary)
        numbers = range(10_000)
        rows = {f"backlog/b{n}/0": self.backlog_row(n) for n in numbers}
        bench.write_all(rows)
        bench.run(1.5)
        self.assertEqual(10_000, len(bench.tables["a"].waiting))
        bench.tell("a", *(full_summary(n, d) for n, d in CELLS.items()))
        started_at = bench.now
        bench.tell("a", submit_record(job("alarm", 4, urgent=True)))
        while sum(task_row_counts(bench).values()) < 4:
            bench.step()
            self.assertLess(bench.now - started_at, 2.7)
        took_s, tick_s_before = bench.now - started_at, bench.tick_s
        bench.run(0.5)
        tick_ms = (bench.tick_s - tick_s_before) / 5 * 1_000
        print(f"urgent assigned in {took_s:.1f} s; {tick_ms:.1f} ms per tick")
        self.assertLess(tick_ms, 50.0)
        self.assertEqual(
            0, bench.tables["a"].pending.count_where("purpose", AssignTasks.__name__)
        )

    @staticmethod
    def backlog_row(number: int) -> BacklogRow:
        spec = TaskSpec(
            kind="job",
            record_version=1,
            job=f"b{number}",
            index=0,
            department=f"dep{number % 130}",
            task_class=TaskClass.BATCH,
            size=cell("x", "y").workers[0].capacity,
            run_s=60.0,
        )
        return BacklogRow(spec=spec, count=1)
