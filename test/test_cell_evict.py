"""Evictions, drains, reduced capacities, faulty workers, failing jobs, releases."""

from __future__ import annotations

from unittest import mock

import testtools

from bulrushpulley.entities.cell_owner_tables import CellOwnerDone
from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.link import JobCancelled
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import TaskClass, TaskState
from bulrushpulley.entities.worker import Health
from bulrushpulley.entities.worker_calls import RequestReport, StartTask, StopTask
from bulrushpulley.systems.cell import quarantine as cell_quarantine
from bulrushpulley.systems.cell import stop as cell_stop
from standins.worker_core import running_size
from test.cell_bench import CAPACITY, CellBench, cell_owner_address, failing

LATENCY_CRITICAL = {"task_class": TaskClass.LATENCY_CRITICAL, "kind": "service"}


class EvictionTest(testtools.TestCase):
    def test_a_drain_returns_tasks_with_their_checkpoints(self) -> None:
        bench = CellBench()
        bench.put_job("curves", tasks=3, run_s=60.0)
        bench.start_agent("a")
        bench.run(20.0)
        bench.drain()
        bench.distribute_records()
        bench.run(5.0)
        for index in range(3):
            back = bench.row(f"backlog/curves/{index}")
            self.assertEqual((1, 1), (back.count, back.generation))
            self.assertGreater(float(back.checkpoint), 15.0)
            self.assertEqual([], bench.running(f"curves/{index}"))
        self.assertEqual(Resources(), bench.summaries[-1].free)
        self.assertEqual([], bench.violations)

    def test_an_urgent_task_evicts_a_batch_task_that_resumes_once(self) -> None:
        bench = CellBench(workers=1)
        bench.put_job("audit", run_s=40.0, size=CAPACITY)
        bench.start_agent("a")
        bench.run(20.0)
        bench.put_job("sweep", run_s=5.0, urgent=True, size=CAPACITY)
        bench.assign("a")
        bench.run(2.7)
        self.assertEqual(["w0"], bench.running("sweep/0"))
        bench.run(60.0)
        self.assertEqual(TaskState.FINISHED, bench.done("sweep/0"))
        self.assertEqual(TaskState.FINISHED, bench.done("audit/0"))
        resumed = [s for s in bench.starts if s.task_id == "audit/0"][1:]
        self.assertEqual([2], [start.generation for start in resumed])
        self.assertGreater(float(resumed[0].checkpoint), 15.0)
        self.assertEqual([], bench.violations)

    def test_an_eviction_whose_stops_lose_their_answers_resumes_once(self) -> None:
        bench = CellBench()
        bench.put_job("audit", run_s=60.0)
        bench.start_agent("a")
        bench.run(10.0)
        bench.lose_worker_answers = {"w0"}
        bench.resize("w0", Resources())
        bench.run(7.0)
        bench.lose_worker_answers = set()
        bench.run(80.0)
        starts = [(s.worker_id, s.generation) for s in bench.starts]
        self.assertEqual([("w0", 1), ("w1", 2)], starts)
        self.assertGreater(float(bench.starts[1].checkpoint), 5.0)
        self.assertEqual(TaskState.FINISHED, bench.done("audit/0"))

    def test_an_unconfirmed_stop_would_run_a_task_twice(self) -> None:
        def end_without_stop(tables, task, ending, now):  # type: ignore[no-untyped-def]
            return cell_stop.end_task(tables, task, ending, now)

        bench = CellBench()
        bench.put_job("audit", run_s=60.0)
        bench.start_agent("a")
        bench.run(10.0)
        with mock.patch.object(cell_stop, "plan_ending", end_without_stop):
            bench.resize("w0", Resources())
            bench.run(3.0)
        self.assertNotEqual([], bench.violations)

    def test_reduced_capacity_evicts_the_newest_batch_task_and_no_service(self) -> None:
        bench = CellBench(workers=1)
        version = bench.put_service("oven")
        bench.put_task("oven", 0, version, run_s=0.0, **LATENCY_CRITICAL)
        bench.start_agent("a")
        bench.run(12.0)
        for name in ("older", "newer"):
            bench.put_job(name, run_s=500.0)
            bench.run(12.0)
        bench.resize("w0", Resources(processors_m=4_000, memory_mb=16_000))
        bench.run(5.0)
        running = [bench.running(task) for task in ("oven/0", "older/0", "newer/0")]
        self.assertEqual([["w0"], ["w0"], []], running)

    def test_a_scaled_down_service_loses_its_last_replicas(self) -> None:
        bench = CellBench()
        version = bench.put_service("oven", replicas=2)
        for index in range(2):
            bench.put_task("oven", index, version, run_s=0.0, **LATENCY_CRITICAL)
        bench.start_agent("a")
        bench.run(5.0)
        bench.put_service("oven", replicas=1)
        bench.distribute_records()
        bench.run(5.0)
        self.assertEqual(1, len(bench.running("oven/0")))
        self.assertEqual([], bench.running("oven/1"))
        self.assertEqual(TaskState.CANCELLED, bench.done("oven/1"))

    def test_a_service_scaled_down_while_its_cell_had_no_owner_loses_replicas(
        self,
    ) -> None:
        bench = CellBench()
        version = bench.put_service("oven", replicas=2)
        for index in range(2):
            bench.put_task("oven", index, version, run_s=0.0, **LATENCY_CRITICAL)
        bench.start_agent("a")
        bench.run(5.0)
        bench.world.kill("a")
        bench.put_service("oven", replicas=1)
        bench.start_agent("b")
        bench.run(40.0)
        self.assertEqual(1, len(bench.running("oven/0")))
        self.assertEqual([], bench.running("oven/1"))
        self.assertEqual(TaskState.CANCELLED, bench.done("oven/1"))

    def test_a_removed_worker_is_emptied_of_batch_tasks(self) -> None:
        bench = CellBench()
        bench.put_job("audit", run_s=60.0)
        bench.start_agent("a")
        bench.run(5.0)
        del bench.capacity["w0"]
        bench.put_record("cell", bench.cell_record())
        bench.distribute_records()
        bench.run(8.0)
        self.assertEqual(["w1"], bench.running("audit/0"))
        self.assertNotIn("w0", bench.tables("a").workers)

    def test_a_cancelled_job_is_stopped(self) -> None:
        bench = CellBench()
        bench.put_job("curves", tasks=100, run_s=500.0)
        bench.start_agent("a")
        bench.run(5.0)
        bench.world.deliver(cell_owner_address("a"), JobCancelled(job="curves"))
        bench.run(8.0)
        done = {bench.done(f"curves/{index}") for index in range(100)}
        self.assertEqual({TaskState.CANCELLED}, done)
        self.assertEqual(8, len(bench.starts))
        self.assertEqual(Resources(), _load(bench))

    def test_a_task_that_fits_no_worker_is_returned_to_the_backlog(self) -> None:
        bench = CellBench()
        bench.put_job("huge", size=Resources(processors_m=64_000))
        bench.start_agent("a")
        bench.run(40.0)
        self.assertEqual(1, bench.row("backlog/huge/0").count)
        self.assertIn("task.return", bench.kinds())


def _load(bench: CellBench) -> Resources:
    total = Resources()
    for state in bench.workers.values():
        total = total.plus(running_size(state))
    return total


class QuarantineTest(testtools.TestCase):
    def test_a_worker_that_fails_everything_is_quarantined_and_probed(self) -> None:
        bench = CellBench(workers=3)
        bench.workers["w0"] = failing(bench.workers["w0"], True)
        for number in range(6):
            bench.put_job(f"job{number}", run_s=5.0)
        bench.start_agent("a")
        bench.run(25.0)
        for number in range(6):
            self.assertEqual(TaskState.FINISHED, bench.done(f"job{number}/0"))
            self.assertLess(bench.row(f"done/job{number}/0").attempts, 2)
        worker = bench.tables("a").workers.by_key["w0"]
        self.assertEqual(Health.QUARANTINED, worker.health)
        bench.workers["w0"] = failing(bench.workers["w0"], False)
        bench.run(20.0)
        bench.put_job("later", tasks=8, run_s=5.0)
        bench.run(40.0)
        worker = bench.tables("a").workers.by_key["w0"]
        self.assertEqual(Health.HEALTHY, worker.health)

    def test_two_faulty_workers_are_found_by_successes_on_a_third(self) -> None:
        bench = CellBench(workers=3)
        for worker in ("w0", "w1"):
            bench.workers[worker] = failing(bench.workers[worker], True)
        bench.start_agent("a")
        bench.run(2.0)
        for number in range(3):
            bench.put_job(f"job{number}", run_s=5.0)
            bench.assign("a")
            bench.run(0.1)
        bench.run(25.0)
        for number in range(3):
            self.assertEqual(TaskState.FINISHED, bench.done(f"job{number}/0"))
        healths = [worker.health for worker in bench.tables("a").workers.rows()]
        self.assertEqual(
            [Health.QUARANTINED, Health.QUARANTINED, Health.HEALTHY], healths
        )

    def test_without_evidence_a_faulty_worker_is_not_quarantined(self) -> None:
        bench = CellBench(workers=2)
        bench.workers["w0"] = failing(bench.workers["w0"], True)
        for number in range(4):
            bench.put_job(f"job{number}", run_s=5.0)
        bench.start_agent("a")
        with mock.patch.object(cell_quarantine, "is_faulty", lambda *_: False):
            bench.run(25.0)
        self.assertNotIn("worker.aside", bench.kinds())

    def test_a_job_that_fails_everywhere_quarantines_no_worker(self) -> None:
        bench = CellBench(workers=3)
        bench.start_agent("a")
        bench.failing_jobs = {"broken"}
        bench.put_job("broken", tasks=2, run_s=5.0)
        bench.put_job("sound", tasks=4, run_s=5.0)
        bench.run(120.0)
        for index in range(2):
            self.assertEqual(TaskState.FAILED, bench.done(f"broken/{index}"))
        for index in range(4):
            self.assertEqual(TaskState.FINISHED, bench.done(f"sound/{index}"))
        healths = {worker.health for worker in bench.tables("a").workers.rows()}
        self.assertEqual({Health.HEALTHY}, healths)


class ReleaseTest(testtools.TestCase):
    def test_a_leaving_agent_releases_its_cell_after_its_last_command(self) -> None:
        bench = CellBench()
        bench.put_job("curves", run_s=60.0)
        bench.start_agent("a")
        bench.run(5.0)
        bench.world.deliver(cell_owner_address("a"), Leave())
        bench.run(5.0)
        self.assertEqual("", bench.row("lease/c0").owner)
        commands = [(at, c) for at, agent, c in bench.commands if agent == "a"]
        released = [at for at, c in commands if isinstance(c, CellOwnerDone)]
        kinds = (StartTask, StopTask, RequestReport)
        last = max(at for at, c in commands if isinstance(c, kinds))
        self.assertEqual(1, len(released))
        reports = [(at, c) for at, c in commands if isinstance(c, RequestReport)]
        self.assertTrue(any(at >= 5.0 and c.renewals for at, c in reports))
        self.assertLess(last + 1.9, released[0])
        bench.start_agent("b")
        bench.run(70.0)
        self.assertEqual(TaskState.FINISHED, bench.done("curves/0"))
        self.assertEqual(1, len(bench.starts))

    def test_a_leaving_agent_is_done_even_in_a_store_outage(self) -> None:
        bench = CellBench()
        bench.start_agent("a")
        bench.run(5.0)
        bench.store_up = False
        bench.world.deliver(cell_owner_address("a"), Leave())
        bench.run(15.0)
        kinds = [type(command) for _, _, command in bench.commands]
        self.assertEqual(1, kinds.count(CellOwnerDone))


MIX_DURATION_S = 100.0


class FaultMixTest(testtools.TestCase):
    """Faults drawn from fixed seeds, two at a time, must not break any invariant."""

    def test_random_fault_mixes_break_no_invariant_and_lose_no_task(self) -> None:
        for seed in range(1, 5):
            bench = CellBench(seed=seed, workers=3)
            for number in range(8):
                bench.put_job(f"job{number}", tasks=2, run_s=15.0 + number)
            bench.start_agent("a")
            self._mix(bench)
            bench.run(90.0)
            self.assertEqual([], bench.violations, f"seed {seed}")
            for number in range(8):
                for index in range(2):
                    self._assert_in_one_place(bench, f"job{number}/{index}", seed)

    def _assert_in_one_place(self, bench: CellBench, task: str, seed: int) -> None:
        places = (f"done/{task}", f"task/c0/{task}", f"backlog/{task}")
        found = [key for key in places if bench.row(key) is not None]
        self.assertEqual(1, len(found), f"seed {seed}: {task} {found}")

    def _mix(self, bench: CellBench) -> None:
        faults = (
            lambda on: setattr(bench, "store_up", not on),
            lambda on: setattr(bench, "unreachable", {"w0"} if on else set()),
            lambda on: setattr(bench, "lose_worker_answers", {"w1"} if on else set()),
            lambda on: setattr(bench, "lose_start_answers", on),
            lambda on: setattr(bench, "start_delay_s", 1.5 if on else 0.005),
            lambda on: setattr(
                bench, "lose_commit", lambda _: on and self._draw_boolean(bench)
            ),
            lambda on: bench.world.pause("a", 20.0) if on else None,
            lambda on: bench.start_agent("b") if on else bench.offer("a"),
        )
        until = bench.world.now + MIX_DURATION_S
        while bench.world.now < until:
            chosen = [self._draw(bench, len(faults)) for _ in range(2)]
            for index in chosen:
                faults[index](True)
            bench.run(1.0 + self._draw(bench, 8))
            for index in chosen:
                faults[index](False)
            bench.run(1.0 + self._draw(bench, 6))

    def _draw_boolean(self, bench: CellBench) -> bool:
        return self._draw(bench, 2) == 0

    def _draw(self, bench: CellBench, choices: int) -> int:
        number, bench.world.rng = bench.world.rng.draw(choices * 1000)
        return number % choices
