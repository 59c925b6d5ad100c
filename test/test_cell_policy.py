"""Interference within a cell: learning, throttling, eviction and placement."""

from __future__ import annotations

import functools
import itertools
from dataclasses import replace
from unittest import mock

import testtools

from bulrushpulley.entities.interference import ServiceLatency
from bulrushpulley.entities.records import PolicyRecord
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import TaskClass
from bulrushpulley.entities.worker_calls import (
    RunUsage,
    ThrottleTask,
    ThrottleUnanswered,
    WorkerReported,
)
from bulrushpulley.platform.worker import WorkerClient
from bulrushpulley.systems.cell import degradation as cell_degradation
from bulrushpulley.systems.cell import learn as cell_learn
from bulrushpulley.systems.cell import place as cell_place
from bulrushpulley.systems.cell import spread_and_pack as cell_spread_and_pack
from bulrushpulley.systems.cell.placement_policy import FirstFit
from standins import worker_core
from test.cell_bench import CAPACITY, SIZE, CellBench

SERVICE = {"task_class": TaskClass.LATENCY_CRITICAL, "kind": "service"}
NOISE_MODULUS = 1_009
HARMLESS = Resources(processors_m=500, memory_mb=500)


def noise(now: float) -> float:
    """Return a factor between 0.55 and 1.45, the same for the same time."""
    return 0.55 + 0.9 * ((int(now * 10) * 7_919) % NOISE_MODULUS) / NOISE_MODULUS


def colocated(
    *,
    harm_by_job: dict[str, float],
    workers: int = 1,
    eviction_weight: float = 1.0,
    jobs: tuple[str, ...] = ("quiet", "noisy"),
) -> CellBench:
    """Return a bench that runs a service and jobs that start one after another."""
    bench = CellBench(workers=workers)
    for worker, state in bench.workers.items():
        bench.workers[worker] = replace(state, harm_by_job=harm_by_job)
    policy = PolicyRecord(
        name="p", department="bakery", eviction_weight=eviction_weight
    )
    bench.put_record("policy", policy)
    version = bench.put_service("oven")
    bench.put_task("oven", 0, version, run_s=0.0, **SERVICE)
    bench.start_agent("a")
    for job in jobs:
        bench.run(20.0)
        bench.put_job(job, run_s=5_000.0)
        bench.assign("a")
    return bench


def throttles(bench: CellBench) -> list[tuple[float, ThrottleTask]]:
    """Return the throttles that were sent, with their times."""
    return [
        (at, command)
        for at, _, command in bench.commands
        if isinstance(command, ThrottleTask)
    ]


def evicted(bench: CellBench) -> list[str]:
    """Return the tasks that were evicted."""
    return [line.subject for line in bench.decisions if line.kind == "task.evict"]


class InterferenceTest(testtools.TestCase):
    def test_the_harmful_job_is_throttled_once_measurements_show_it(self) -> None:
        bench = colocated(harm_by_job={"noisy": 150.0})
        bench.run(worker_core.USAGE_LAG_S - 1.0)
        self.assertEqual([], throttles(bench))
        bench.run(60.0)
        sent = {command.task_id for _, command in throttles(bench)}
        self.assertEqual({"noisy/0"}, sent)
        self.assertEqual([], evicted(bench))
        latency = bench.tables("a").latencies.by_key["task/c0/oven/0"]
        self.assertLess(latency.smoothed_ms, 200.0)
        self.assertEqual([], bench.violations)

    def test_no_further_action_is_taken_before_the_lag_has_passed(self) -> None:
        bench = colocated(harm_by_job={"noisy": 900.0, "quiet": 900.0})
        bench.run(120.0)
        sent_times = sorted({at for at, _ in throttles(bench)})
        gaps = [b - a for a, b in itertools.pairwise(sent_times)]
        self.assertGreaterEqual(min(gaps, default=99.0), worker_core.USAGE_LAG_S)

    def test_a_share_is_raised_once_the_service_is_gone(self) -> None:
        bench = colocated(harm_by_job={"noisy": 150.0})
        bench.run(60.0)
        bench.put_service("oven", replicas=0)
        bench.distribute_records()
        bench.run(180.0)
        run = bench.workers["w0"].runs.rows()[-2]
        self.assertEqual(1.0, run.share)
        self.assertEqual(0, len(bench.tables("a").throttles))

    def test_a_task_that_throttling_cannot_contain_is_evicted_and_kept_away(
        self,
    ) -> None:
        bench = colocated(harm_by_job={"noisy": 900.0}, workers=2)
        bench.run(150.0)
        self.assertEqual(["noisy/0"], evicted(bench))
        self.assertNotEqual(bench.running("oven/0"), bench.running("noisy/0"))
        self.assertEqual([], bench.violations)

    def test_a_new_owner_resets_a_throttled_task_to_full_speed(self) -> None:
        bench = colocated(harm_by_job={"noisy": 150.0})
        bench.run(60.0)
        bench.world.kill("a")
        bench.start_agent("b")
        bench.run(30.0)
        shares = {run.share for run in bench.workers["w0"].runs.rows()}
        self.assertEqual({1.0}, shares)


class DeferralTest(testtools.TestCase):
    def test_a_job_harmful_on_every_worker_starts_within_the_deferral_bound(
        self,
    ) -> None:
        bench = colocated(harm_by_job={"noisy": 900.0})
        bench.run(120.0)
        bench.put_job("noisy-again", run_s=50.0)
        deferral_bound_s = (
            cell_spread_and_pack.MAX_PLACEMENT_DEFERRAL_S
            + cell_spread_and_pack.PLACEMENT_RETRY_DELAY_S
        )
        with mock.patch.object(cell_learn, "estimated_harm_ms", return_value=900.0):
            bench.assign("a")
            bench.run(deferral_bound_s / 2)
            self.assertEqual([], bench.running("noisy-again/0"))
            bench.run(deferral_bound_s)
        self.assertNotEqual([], bench.running("noisy-again/0"))


class WeightTest(testtools.TestCase):
    def _eviction_time_and_share(self, eviction_weight: float) -> tuple[float, float]:
        bench = colocated(
            harm_by_job={"noisy": 5_000.0},
            workers=2,
            eviction_weight=eviction_weight,
        )
        started_at = bench.world.now
        while not evicted(bench) and bench.world.now < started_at + 400.0:
            bench.run(1.0)
        share = min(command.share for _, command in throttles(bench))
        return bench.world.now - started_at, share

    def test_a_high_eviction_weight_throttles_deeper_and_longer(self) -> None:
        latency_first = self._eviction_time_and_share(0.25)
        evictions_last = self._eviction_time_and_share(4.0)
        self.assertLess(latency_first[0] + 60.0, evictions_last[0])
        self.assertEqual((0.5, 0.0625), (latency_first[1], evictions_last[1]))


class HysteresisTest(testtools.TestCase):
    def _changes(self) -> int:
        bench = colocated(harm_by_job={"noisy": 70.0})
        bench.latency_noise = noise
        bench.run(600.0)
        return len(throttles(bench)) + len(evicted(bench))

    def test_noisy_latencies_cause_no_flapping(self) -> None:
        self.assertLessEqual(self._changes(), 4)

    def test_without_hysteresis_noisy_latencies_cause_flapping(self) -> None:
        def naive(latency: ServiceLatency, now: float) -> ServiceLatency:
            degraded = latency.smoothed_ms > latency.target_ms
            return replace(latency, degraded=degraded)

        weight = mock.patch.object(cell_learn, "LATENCY_WEIGHT", 1.0)
        with mock.patch.object(cell_degradation, "update_degraded", naive), weight:
            self.assertGreater(self._changes(), 4)


class LateReportTest(testtools.TestCase):
    def _learned(self, generation: int) -> bool:
        bench = colocated(harm_by_job={}, jobs=())
        bench.run(5.0)
        worker = bench.tables("a").workers.by_key["w0"]
        usage = RunUsage(
            task_id="oven/0",
            generation=generation,
            processors_m=1,
            memory_mb=1,
            latency_ms=9_000.0,
        )
        event = WorkerReported(
            worker_id="w0", requested_at=0.0, runs=(), usages=(usage,)
        )
        before = bench.tables("a")
        after = cell_learn.learn(event, before, bench.world.now)
        self.assertEqual("w0", worker.worker_id)
        return after.latencies != before.latencies

    def test_measurements_of_an_ended_generation_are_ignored(self) -> None:
        self.assertTrue(self._learned(1))
        self.assertFalse(self._learned(0))


class ThrottleCallTest(testtools.TestCase):
    def _answer(self, not_after: float) -> object:
        command = ThrottleTask(
            worker_id="w1",
            url="http://127.0.0.1:1/w/w1",
            not_after=not_after,
            task_key="task/c0/a/0",
            task_id="a/0",
            generation=1,
            share=0.5,
        )
        return WorkerClient(clock=lambda: 100.0).throttle(command)

    def test_a_throttle_that_cannot_be_sent_is_unanswered(self) -> None:
        self.assertIsInstance(self._answer(1e9), ThrottleUnanswered)

    def test_an_owner_that_may_be_replaced_sends_no_throttle(self) -> None:
        bench = colocated(harm_by_job={"noisy": 115.0})
        bench.run(1.0)
        bench.store_up = False
        bench.run(60.0)
        self.assertEqual([], throttles(bench))
        bench.store_up = True
        bench.run(30.0)
        self.assertNotEqual([], throttles(bench))


class PlacementTest(testtools.TestCase):
    def test_replicas_spread_over_workers(self) -> None:
        bench = CellBench(workers=3)
        bench.start_agent("a")
        bench.run(2.0)
        self._oven(bench)
        bench.run(5.0)
        workers = {bench.running(f"oven/{index}")[0] for index in range(3)}
        self.assertEqual({"w0", "w1", "w2"}, workers)

    def _oven(self, bench: CellBench) -> None:
        version = bench.put_service("oven", replicas=3)
        for index in range(3):
            bench.put_task("oven", index, version, run_s=0.0, **SERVICE)
        bench.assign("a")

    def _big_fits(self) -> bool:
        bench = CellBench(workers=2)
        bench.start_agent("a")
        bench.run(2.0)
        bench.put_job("half", size=replace(SIZE, processors_m=5_000), run_s=500.0)
        bench.assign("a")
        bench.run(1.0)
        bench.put_job("more", size=replace(SIZE, processors_m=4_000), run_s=500.0)
        bench.assign("a")
        bench.run(1.0)
        bench.put_job("small", size=replace(SIZE, processors_m=3_000), run_s=500.0)
        bench.put_job("last", size=replace(SIZE, processors_m=4_000), run_s=500.0)
        bench.assign("a")
        bench.run(3.0)
        self.assertEqual([], bench.violations)
        return bool(bench.running("last/0"))

    def test_best_fit_leaves_room_for_big_tasks(self) -> None:
        self.assertTrue(self._big_fits())

    def test_learned_usage_commits_nothing_beyond_declared_capacity(self) -> None:
        bench = CellBench(workers=1)
        bench.put_job("lean", tasks=30, run_s=500.0, size=SIZE)
        bench.start_agent("a")
        usage = functools.partial(RunUsage, processors_m=1, memory_mb=1)
        bench.usages_of = lambda state: tuple(  # type: ignore[method-assign]
            usage(task_id=run.start.task_id, generation=run.start.generation)
            for run in worker_core.runs_with_usage(state, bench.world.now)
        )
        bench.run(40.0)
        self.assertIn("record/job/lean", bench.tables("a").job_usages)
        load = worker_core.running_size(bench.workers["w0"])
        self.assertEqual(CAPACITY.processors_m, load.processors_m)
        self.assertEqual([], bench.violations)

    def test_the_first_fit_policy_can_be_used(self) -> None:
        bench = CellBench(workers=3)
        bench.start_agent("a")
        bench.run(2.0)
        self._oven(bench)
        with mock.patch.object(cell_place, "PLACEMENT_POLICY", FirstFit()):
            bench.run(5.0)
        self.assertEqual([["w0"]] * 3, [bench.running(f"oven/{n}") for n in range(3)])
