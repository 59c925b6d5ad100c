"""Tests faults while a task is in a cell, with and without their guards."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest import mock

import testtools

from bulrushpulley.entities.commit import Submission
from bulrushpulley.entities.records import JobRecord
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import LeaseRow, TaskRow, TaskState
from bulrushpulley.entities.step import Command
from bulrushpulley.entities.task import Phase
from bulrushpulley.entities.worker_calls import StartTask, WorkerReported
from bulrushpulley.systems.cell import candidates as cell_candidates
from bulrushpulley.systems.cell import domains as cell_domains
from bulrushpulley.systems.cell import reports as cell_reports
from bulrushpulley.systems.cell import start as cell_start
from bulrushpulley.systems.cell import stop as cell_stop
from bulrushpulley.systems.cell import watch as cell_watch
from bulrushpulley.systems.cell.liveness import autonomy_deadline
from test.cell_bench import SIZE, CellBench, cell_owner_address, runs_of
from test.virtual_world import RoleAddress, VirtualWorld


def writes_start(submission: Submission) -> bool:
    rows = [write.row for write in submission.writes]
    return any(isinstance(r, TaskRow) and r.state is TaskState.STARTING for r in rows)


ONE_CORE = Resources(processors_m=1_000)


def writes_done(submission: Submission) -> bool:
    return any(write.key.startswith("done/") for write in submission.writes)


def always(*_: Any, **__: Any) -> bool:
    return True


class ActOnFirstMatch:
    """Runs an action at the first call that matches."""

    def __init__(
        self, *, matches: Callable[[Any], bool], action: Callable[[], None]
    ) -> None:
        self._matches = matches
        self._action = action
        self._done = False

    def __call__(self, value: Any) -> bool:
        """Act if this is the first match."""
        if self._done or not self._matches(value):
            return False
        self._done = True
        self._action()
        return True


def do_nothing() -> None:
    """Do nothing."""


def with_delayed_start(bench: CellBench) -> None:
    """Send a start in time that arrives late, and lose its answer."""
    bench.put_job("curves", run_s=20.0)
    bench.start_agent("a")
    bench.start_delay_s = 3.0
    bench.lose_start_answers = True
    bench.run(2.0)
    bench.lose_start_answers = False
    bench.run(60.0)


def with_paused_owner(bench: CellBench) -> None:
    """Pause an owner right before it sends a start, and have it replaced meanwhile."""

    def pause(world: VirtualWorld, owner: RoleAddress, command: Command) -> None:
        if isinstance(command, StartTask) and owner.process == "a":
            world.command_hooks.clear()
            world.pause("a", 60.0)

    bench.put_job("curves", run_s=90.0)
    bench.start_agent("a")
    bench.world.command_hooks.append(pause)
    bench.run(2.0)
    bench.start_agent("b")
    bench.run(120.0)


def with_unreachable_worker(bench: CellBench) -> None:
    """Cut a worker off for so long that the leases of its tasks expire."""
    bench.put_job("curves", run_s=60.0)
    bench.start_agent("a")
    bench.run(5.0)
    bench.unreachable = {"w0"}
    bench.run(60.0)
    bench.unreachable = set()
    bench.run(90.0)


def with_drain_at_commit(bench: CellBench) -> None:
    """Drain the failure domain right before a start would commit."""
    bench.before_commit = ActOnFirstMatch(matches=writes_start, action=bench.drain)  # type: ignore[assignment]
    bench.put_job("curves")
    bench.start_agent("a")
    bench.run(1.0)
    bench.run(10.0)


def with_drain_and_lost_commit(bench: CellBench) -> None:
    """Commit a start just before a drain, with the answer delayed by an outage."""
    outage_at_commit = ActOnFirstMatch(
        matches=writes_start, action=lambda: drain_during_outage(bench)
    )
    bench.lose_commit = outage_at_commit
    bench.put_job("curves")
    bench.start_agent("a")
    bench.run(30.0)


def drain_during_outage(bench: CellBench) -> None:
    bench.drain()
    bench.store_up = False
    bench.world.at(4.0, lambda: setattr(bench, "store_up", True))


def with_crowded_cell(bench: CellBench) -> None:
    """Submit more tasks than the workers have capacity for."""
    bench.put_job("curves", tasks=20, run_s=10.0)
    bench.start_agent("a")
    bench.run(60.0)


def with_late_report(bench: CellBench) -> None:
    """Deliver a report of an earlier generation again, much later."""
    bench.put_job("curves", run_s=30.0)
    bench.start_agent("a")
    bench.run(3.0)
    early = runs_of(bench.workers["w0"])
    bench.unreachable = {"w0"}
    bench.run(50.0)
    worker = bench.tables("a").workers.by_key["w1"]
    late = WorkerReported(
        worker_id="w1",
        requested_at=worker.report_requested_at or worker.reported_at or 0.0,
        runs=early,
    )
    bench.world.deliver(cell_owner_address("a"), late)
    bench.run(5.0)


GUARDED: tuple[tuple[Callable[[CellBench], None], Any, str, Any], ...] = (
    (with_delayed_start, cell_reports, "absence_is_conclusive", always),
    (with_unreachable_worker, cell_stop, "lease_has_expired", always),
    (with_crowded_cell, cell_candidates, "held_capacity", lambda *_: SIZE.minus(SIZE)),
)


class GuardTest(testtools.TestCase):
    def test_no_fault_breaks_an_invariant(self) -> None:
        for case in (
            with_delayed_start,
            with_paused_owner,
            with_unreachable_worker,
            with_drain_at_commit,
            with_drain_and_lost_commit,
            with_crowded_cell,
            with_late_report,
        ):
            bench = CellBench()
            case(bench)
            self.assertEqual([], bench.violations, case.__name__)
            self.assertTrue(bench.commands, case.__name__)

    def test_each_check_fails_without_its_guard(self) -> None:
        for case, module, guard, replacement in GUARDED:
            bench = CellBench()
            with mock.patch.object(module, guard, replacement):
                case(bench)
            self.assertNotEqual([], bench.violations, f"{case.__name__} {guard}")

    def test_a_start_past_its_deadline_would_run_twice(self) -> None:
        bench = CellBench()
        bench.checks_deadline = False
        with_paused_owner(bench)
        self.assertNotEqual([], bench.violations)

    def test_a_start_whose_commit_is_confirmed_late_is_not_sent(self) -> None:
        bench = CellBench()
        bench.checks_deadline = False
        with_drain_and_lost_commit(bench)
        self.assertEqual([], bench.violations)
        bench = CellBench()
        bench.checks_deadline = False
        with mock.patch.object(cell_start, "may_send", always):
            with_drain_and_lost_commit(bench)
        self.assertNotEqual([], bench.violations)

    def test_a_paused_owner_would_stop_tasks_of_its_successor(self) -> None:
        bench = CellBench()
        with_paused_owner(bench)
        self.assertEqual(1, len(bench.starts))
        bench = CellBench()
        with (
            mock.patch.object(cell_reports, "stop_deadline", lambda _: float("inf")),
            mock.patch.object(cell_reports, "is_newer_run", lambda *_: False),
        ):
            with_paused_owner(bench)
        self.assertNotEqual(1, len(bench.starts))

    def test_a_drained_domain_prevents_the_commit_of_a_start(self) -> None:
        def unconditional(tables: Any, cell: Any, task: Any) -> Any:
            return conditions(tables, cell, task)[:3]

        bench = CellBench()
        with_drain_at_commit(bench)
        self.assertEqual([], bench.starts)
        conditions = cell_start.start_conditions
        bench = CellBench()
        with (
            mock.patch.object(cell_start, "start_conditions", unconditional),
            mock.patch.object(cell_domains, "in_service", always),
        ):
            with_drain_at_commit(bench)
        self.assertNotEqual([], bench.starts)

    def test_reduced_capacity_prevents_the_commit_of_a_start(self) -> None:
        def capacity_reduced_at_commit() -> CellBench:
            bench = CellBench(workers=1)
            bench.before_commit = ActOnFirstMatch(  # type: ignore[assignment]
                matches=writes_start,
                action=lambda: bench.put_capacity("w0", SIZE.minus(ONE_CORE)),
            )
            bench.put_job("curves")
            bench.start_agent("a")
            bench.run(5.0)
            return bench

        conditions = cell_start.start_conditions
        self.assertEqual([], capacity_reduced_at_commit().starts)
        with mock.patch.object(
            cell_start, "start_conditions", lambda *args: conditions(*args)[:4]
        ):
            self.assertNotEqual([], capacity_reduced_at_commit().violations)

    def test_a_takeover_waits_until_the_liveness_row_is_unchanged(self) -> None:
        def owner_after(guard: Any) -> str:
            bench = CellBench()
            bench.start_agent("a")
            bench.run(5.0)
            bench.start_agent("b")
            with mock.patch.object(cell_watch, "owner_timed_out", guard):
                for _ in range(10):
                    bench.offer("b")
                    bench.run(3.7)
            lease = bench.row("lease/c0")
            assert isinstance(lease, LeaseRow)
            return lease.owner

        self.assertEqual("a", owner_after(cell_watch.owner_timed_out))
        self.assertEqual("b", owner_after(always))


class OutcomeTest(testtools.TestCase):
    def test_a_paused_owner_gives_up_the_cell_and_sends_no_more_starts(self) -> None:
        bench = CellBench()
        with_paused_owner(bench)
        self.assertEqual("b", bench.row("lease/c0").owner)
        self.assertNotIn("c0", bench.tables("a").cells)
        later = [c for at, agent, c in bench.commands if agent == "a" and at > 70.0]
        self.assertEqual([], [c for c in later if isinstance(c, StartTask)])
        self.assertEqual(TaskState.FINISHED, bench.done("curves/0"))

    def test_a_new_owner_adopts_running_tasks(self) -> None:
        bench = CellBench()
        bench.put_job("curves", run_s=60.0)
        bench.start_agent("a")
        bench.run(5.0)
        bench.world.kill("a")
        bench.start_agent("b")
        bench.run(90.0)
        self.assertEqual([], bench.violations)
        self.assertEqual(1, len(bench.starts))
        self.assertEqual(TaskState.FINISHED, bench.done("curves/0"))

    def test_after_a_takeover_leases_on_an_unreachable_worker_expire_first(
        self,
    ) -> None:
        def starts(bench: CellBench) -> list[int]:
            bench.put_job("curves", run_s=400.0)
            bench.start_agent("a", autonomy_s=60.0)
            bench.run(5.0)
            bench.world.kill("a")
            bench.start_agent("b")
            bench.unreachable = {"w0"}
            bench.run(85.0)
            early = [start.generation for start in bench.starts]
            bench.run(30.0)
            return [len(early), len(bench.starts)]

        self.assertEqual([1, 2], starts(CellBench()))
        with mock.patch.object(cell_stop, "lease_has_expired", always):
            self.assertEqual([2, 2], starts(CellBench()))

    def test_an_owner_cut_from_the_store_stops_renewing_before_another_starts(
        self,
    ) -> None:
        def violations(guard: Any) -> list[str]:
            bench = CellBench()
            bench.put_job("curves", run_s=400.0)
            bench.start_agent("a", autonomy_s=60.0)
            bench.run(5.0)
            bench.cut_off = {("a", "store"), ("b", "w0")}
            bench.start_agent("b")
            with mock.patch.object(cell_reports, "autonomy_deadline", guard):
                bench.run(120.0)
            self.assertEqual([1, 2], [start.generation for start in bench.starts])
            return bench.violations

        self.assertEqual([], violations(autonomy_deadline))
        self.assertNotEqual([], violations(lambda _: float("inf")))

    def test_a_task_does_not_start_where_its_record_forbids_it(self) -> None:
        bench = CellBench()
        bench.put_job("curves", failure_domains=("nbo-a",))
        bench.start_agent("a")
        bench.run(5.0)
        self.assertEqual([], bench.starts)
        self.assertIsNotNone(bench.row("backlog/curves/0"))

    def test_an_unreachable_worker_is_not_tried_again_immediately(self) -> None:
        bench = CellBench(workers=1)
        bench.start_agent("a")
        bench.run(3.0)
        bench.unreachable = {"w0"}
        bench.put_job("curves", run_s=5.0)
        bench.assign("a")
        bench.run(9.0)
        self.assertLess(bench.row("task/c0/curves/0").generation, 2)

    def test_a_restarted_agent_takes_its_cell_back_immediately(self) -> None:
        bench = CellBench()
        bench.put_job("curves", run_s=60.0)
        bench.start_agent("a")
        bench.run(5.0)
        bench.start_agent("a", incarnation_number=2)
        bench.run(2.0)
        lease = bench.row("lease/c0")
        self.assertEqual(("a#2", 2), (lease.incarnation, lease.epoch))
        self.assertEqual(1, len(bench.starts))

    def test_a_lost_answer_holds_capacity_until_the_worker_reports(self) -> None:
        bench = CellBench(workers=1)
        bench.put_job("curves", run_s=30.0)
        bench.start_agent("a")
        bench.lose_start_answers = True
        bench.run(2.0)
        bench.lose_worker_answers = {"w0"}
        bench.run(6.0)
        task = bench.tables("a").tasks.by_key["task/c0/curves/0"]
        self.assertEqual((Phase.UNKNOWN, "w0"), (task.phase, task.worker_id))
        bench.lose_worker_answers = set()
        bench.run(40.0)
        self.assertEqual(1, len(bench.starts))
        self.assertEqual(TaskState.FINISHED, bench.done("curves/0"))

    def test_a_task_of_an_unreachable_worker_resumes_once_after_its_lease(self) -> None:
        bench = CellBench()
        with_unreachable_worker(bench)
        self.assertEqual([1, 2], [start.generation for start in bench.starts])
        self.assertEqual(TaskState.FINISHED, bench.done("curves/0"))

    def test_a_worker_that_comes_back_in_time_keeps_its_task(self) -> None:
        bench = CellBench()
        bench.put_job("curves", run_s=60.0)
        bench.start_agent("a")
        bench.run(5.0)
        bench.unreachable = {"w0"}
        bench.run(8.0)
        bench.unreachable = set()
        bench.run(60.0)
        self.assertEqual(1, len(bench.starts))
        self.assertEqual(TaskState.FINISHED, bench.done("curves/0"))

    def test_an_unsettled_start_is_not_sent_once_its_window_has_passed(self) -> None:
        bench = CellBench()
        bench.lose_commit = ActOnFirstMatch(
            matches=writes_start, action=lambda: outage(bench, 4.0)
        )
        bench.put_job("curves", run_s=5.0)
        bench.start_agent("a")
        bench.run(30.0)
        self.assertEqual([2], [start.generation for start in bench.starts])
        self.assertEqual(TaskState.FINISHED, bench.done("curves/0"))

    def test_an_unsettled_ending_is_written_once(self) -> None:
        bench = CellBench()
        bench.lose_commit = ActOnFirstMatch(matches=writes_done, action=do_nothing)
        bench.put_job("curves", run_s=5.0)
        bench.start_agent("a")
        bench.run(30.0)
        self.assertEqual([], bench.violations)
        self.assertEqual(TaskState.FINISHED, bench.done("curves/0"))

    def test_tasks_keep_running_during_a_store_outage(self) -> None:
        bench = CellBench()
        bench.put_job("curves", run_s=200.0)
        bench.start_agent("a")
        bench.run(5.0)
        bench.store_up = False
        bench.run(250.0)
        bench.store_up = True
        bench.run(20.0)
        self.assertEqual(1, len(bench.starts))
        self.assertEqual(TaskState.FINISHED, bench.done("curves/0"))

    def test_a_job_does_not_start_after_its_record_is_cancelled(self) -> None:
        def cancel() -> None:
            record = JobRecord(
                name="curves",
                department="bakery",
                tasks=1,
                size=SIZE,
                run_s=5.0,
                cancelled=True,
            )
            bench.put_record("job", record)

        bench = CellBench()
        bench.before_commit = ActOnFirstMatch(matches=writes_start, action=cancel)  # type: ignore[assignment]
        bench.put_job("curves")
        bench.start_agent("a")
        bench.run(5.0)
        self.assertEqual([], bench.starts)
        self.assertEqual(TaskState.CANCELLED, bench.done("curves/0"))


def outage(bench: CellBench, seconds: float) -> None:
    bench.store_up = False
    bench.world.at(seconds, lambda: setattr(bench, "store_up", True))
