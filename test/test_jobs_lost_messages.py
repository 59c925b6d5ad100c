"""Tests that a message which is lost once, while all else is sound, heals in time."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import testtools

from bulrushpulley.entities.jobs.items import (
    Adopt,
    Contact,
    ContactAck,
    EndsNoted,
    HostReport,
    LifeEnded,
    Orders,
    RunRefused,
    RunsReport,
)
from bulrushpulley.entities.jobs.rows import CancelRow, HostRow, JobRow, JobState
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER, LoadTable
from bulrushpulley.entities.jobs.store import StoreCommand, StoredRow, Watch
from bulrushpulley.entities.step import Event
from test.jobs_world import JobsWorld, Process, step

HOST = "z0-0"
# The platform calls a job lost of which nothing runs for this long beside free room.
MAX_IDLE_S = 3.0
SAMPLE_INTERVAL_S = 0.05


class LostMessageTest(testtools.TestCase):
    """The first message of a kind is lost, on an open link or from a watch."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=1, hosts=1)
        self.lost: list[object] = []

    def lose(self, is_lost: Callable[[Event], bool]) -> None:
        """Lose the first such item of a link from now on."""

        def delays_of(
            item: Event, sender: Process, receiver: Process
        ) -> Iterable[float]:
            if self.lost or not is_lost(item):
                return (0.0,)
            self.lost.append(item)
            return ()

        self.world.delays_of = delays_of

    def lose_row(self, is_lost: Callable[[object], bool]) -> None:
        """Hide the first such row from the first watch of the owner that has it."""

        def hides(call: StoreCommand, stored: StoredRow) -> bool:
            is_watch = isinstance(call, Watch) and call.role == SCHEDULER
            if self.lost or not is_watch or not is_lost(stored.row):
                return False
            self.lost.append(stored.row)
            return True

        self.world.hides = hides

    def check_job(self) -> None:
        """Check that a job of two steps never stands still for too long."""
        job_id = self.world.submit(1, step(2), step(2, after=(0,)), payload="0.6")
        self.check_never_idle(lambda: self.world.state_of(job_id) is not None)

    def check_never_idle(self, is_begun: Callable[[], bool]) -> None:
        executors = self.world.executor_by_host.values()
        worst_s, idle_since = 0.0, self.world.now
        until = self.world.now + 15.0
        while self.world.now < until:
            self.world.run(SAMPLE_INTERVAL_S)
            if any(executor.run_by_key for executor in executors):
                idle_since = self.world.now
            worst_s = max(worst_s, self.world.now - idle_since)
            if is_begun() and self.world.all_complete():
                break
        self.assertEqual(1, len(self.lost))
        self.assertLess(worst_s, MAX_IDLE_S)
        self.assertTrue(self.world.all_complete())
        self.assertEqual([], self.world.violations)

    def test_adoption(self) -> None:
        self.lose(lambda item: isinstance(item, Adopt))
        self.world.run(1.0)
        self.check_job()

    def test_first_contact(self) -> None:
        self.lose(lambda item: isinstance(item, Contact))
        self.world.run(1.0)
        self.check_job()

    def test_confirmation_of_a_contact(self) -> None:
        self.lose(lambda item: isinstance(item, ContactAck))
        self.world.run(1.0)
        self.check_job()

    def test_first_report_of_the_host(self) -> None:
        self.lose(lambda item: isinstance(item, HostReport))
        self.world.run(1.0)
        self.check_job()

    def test_report_that_the_backend_server_is_ready(self) -> None:
        self.lose(
            lambda item: isinstance(item, HostReport) and item.state.value == "ready"
        )
        self.world.run(1.0)
        self.check_job()

    def test_complete_report_of_runs(self) -> None:
        self.lose(lambda item: isinstance(item, RunsReport) and item.complete)
        self.world.run(1.0)
        self.check_job()

    def test_complete_orders(self) -> None:
        self.lose(lambda item: isinstance(item, Orders) and item.complete)
        self.world.run(1.0)
        self.check_job()

    def test_order_to_start(self) -> None:
        self.world.run(2.0)
        self.lose(lambda item: isinstance(item, Orders) and bool(item.start))
        self.check_job()

    def test_report_that_a_run_has_begun(self) -> None:
        self.world.run(2.0)
        self.lose(lambda item: isinstance(item, RunsReport) and bool(item.runs))
        self.check_job()

    def test_report_of_an_end(self) -> None:
        self.world.run(2.0)
        self.lose(lambda item: isinstance(item, RunsReport) and bool(item.ends))
        self.check_job()

    def test_refusal_of_a_run(self) -> None:
        self.world.run(2.0)
        self.world.refusing_hosts.add(HOST)
        self.world.at(0.2, self.world.refusing_hosts.clear)
        self.lose(lambda item: isinstance(item, RunRefused))
        self.check_job()

    def test_acknowledgement_of_an_end(self) -> None:
        # One end that is never acknowledged hides all but the next 500.
        self.world.run(2.0)
        executor = self.world.executor_by_host[HOST]
        self.lose(lambda item: isinstance(item, EndsNoted))
        self.check_job()
        self.world.run(MAX_IDLE_S)
        self.assertEqual([], executor.ends)

    def test_end_of_an_incarnation(self) -> None:
        self.world.run(2.0)
        self.world.submit(1, step(2), payload="2.0")
        self.world.run(1.0)
        self.lose(lambda item: isinstance(item, LifeEnded))
        executor = self.world.executor_by_host[HOST]
        executor.crash()
        executor.restart(self.world.now)
        self.check_never_idle(lambda: True)

    def test_order_to_stop(self) -> None:
        self.world.run(2.0)
        job_id = self.world.submit(1, step(1, lasting=True), payload="60")
        self.world.run(1.0)
        executor = self.world.executor_by_host[HOST]
        self.assertEqual(1, len(executor.run_by_key))
        self.lose(lambda item: isinstance(item, Orders) and bool(item.stop))
        self.world.store.put(CancelRow(job_id=job_id))
        self.world.run(MAX_IDLE_S)
        self.assertEqual(1, len(self.lost))
        self.assertEqual({}, executor.run_by_key)

    def test_row_of_a_job(self) -> None:
        self.world.run(2.0)
        self.lose_row(lambda row: isinstance(row, JobRow))
        self.check_job()

    def test_row_of_a_cancellation(self) -> None:
        self.world.run(2.0)
        job_id = self.world.submit(1, step(1, lasting=True), payload="60")
        self.world.run(1.0)
        executor = self.world.executor_by_host[HOST]
        self.assertEqual(1, len(executor.run_by_key))
        self.lose_row(lambda row: isinstance(row, CancelRow))
        self.world.store.put(CancelRow(job_id=job_id))
        self.world.run(MAX_IDLE_S)
        self.assertEqual(1, len(self.lost))
        self.assertEqual({}, executor.run_by_key)

    def test_row_of_a_job_that_is_cancelled_before_it_is_found(self) -> None:
        # The watch passes the cancellation on while the job is not known yet.
        for phase in range(6):
            self.world, self.lost = JobsWorld(entries=1, hosts=1), []
            self.world.run(2.0 + 0.25 * phase)
            self.lose_row(lambda row: isinstance(row, JobRow))
            job_id = self.world.submit(1, step(1, lasting=True), payload="60")
            self.world.run(0.1)
            self.world.store.put(CancelRow(job_id=job_id))
            self.world.run(MAX_IDLE_S)
            self.assertEqual(1, len(self.lost))
            self.assertEqual({}, self.world.executor_by_host[HOST].run_by_key)
            self.assertEqual(JobState.CANCELLED, self.world.state_of(job_id))

    def test_row_of_a_host(self) -> None:
        self.world = JobsWorld(entries=1, hosts=0)
        self.world.run(2.0)
        self.lose_row(lambda row: isinstance(row, HostRow))
        self.world.start_host(HOST)
        self.check_job()


class MissedAtLoadTest(testtools.TestCase):
    """An owner misses a row when it loads the shard, and no change follows."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=2, hosts=2)
        self.world.run(2.0)
        self.hidden: list[object] = []

    def take_over(self, is_missed: Callable[[object], bool]) -> None:
        """Have the next owner miss the first such row of its load."""

        def hides(call: StoreCommand, stored: StoredRow) -> bool:
            is_load = isinstance(call.purpose, LoadTable)
            if self.hidden or not is_load or not is_missed(stored.row):
                return False
            self.hidden.append(stored.row)
            return True

        self.world.hides = hides
        self.assertTrue(self.world.run_until(lambda: bool(self.world.owner()), 6.0))
        self.assertEqual(1, len(self.hidden))

    def check_completed_soon(self, job_id: str, within_s: float) -> None:
        def is_completed() -> bool:
            return self.world.state_of(job_id) is JobState.COMPLETED

        self.assertTrue(self.world.run_until(is_completed, within_s))
        self.assertEqual([], self.world.violations)

    def test_a_job_goes_on_and_what_is_done_does_not_run_again(self) -> None:
        job_id = self.world.submit(1, step(2), step(2, after=(0,)), payload="1.0")
        self.world.run(1.6)
        self.world.kill(self.world.owner())
        self.take_over(lambda row: isinstance(row, JobRow))
        self.check_completed_soon(job_id, MAX_IDLE_S + 1.0)
        self.assertEqual([], self.running())

    def test_a_lasting_task_runs_on_or_again(self) -> None:
        job_id = self.world.submit(1, step(1, lasting=True), payload="60")
        self.world.run(1.0)
        self.assertEqual([f"{job_id}.0.0.0"], self.running())
        self.world.kill(self.world.owner())
        self.take_over(lambda row: isinstance(row, JobRow))
        self.world.run(MAX_IDLE_S)
        self.assertEqual([f"{job_id}.0.0.0"], self.running())
        self.assertEqual([], self.world.violations)

    def test_a_cancelled_job_stops(self) -> None:
        job_id = self.world.submit(1, step(1, lasting=True), payload="60")
        self.world.run(1.0)
        self.world.kill(self.world.owner())
        self.world.store.put(CancelRow(job_id=job_id))
        self.take_over(lambda row: isinstance(row, CancelRow))
        self.world.run(MAX_IDLE_S)
        self.assertEqual([], self.running())

    def test_a_host_is_dialled(self) -> None:
        job_id = self.world.submit(1, step(2), payload="8.0")
        self.world.run(1.0)
        self.world.kill(self.world.owner())
        self.take_over(lambda row: isinstance(row, HostRow))
        self.check_completed_soon(job_id, 12.0)
        self.assertEqual(2, self.world.starts)

    def running(self) -> list[str]:
        """Return the tasks that run."""
        return sorted(
            working.order.task_id
            for executor in self.world.executor_by_host.values()
            for working in executor.run_by_key.values()
        )
