"""Runs the fault matrix of jobs in virtual time, and cases without a safeguard."""

from __future__ import annotations

import random
from unittest import mock

import testtools

from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.scheduler_tables import Owning, SchedulerTables
from bulrushpulley.systems.scheduling import lease_expiry
from standins.executor_core import FakeExecutor
from test.jobs_matrix import FAULTS, STEPS, FaultCase, run_case

PAIR_COUNT = 60
SEED = 20261204


def _expired_early(tables: SchedulerTables, owning: Owning, host: Host) -> float:
    return host.last_contact_at + 1.5


class JobsMatrixTest(testtools.TestCase):
    def _run_all(self, cases: list[FaultCase]) -> None:
        problems = {case.name: found for case in cases if (found := run_case(case))}
        self.assertEqual({}, problems)

    def test_every_fault_at_the_first_time_of_every_step(self) -> None:
        cases = [
            FaultCase(injections=((at, fault, 1),)) for at in STEPS for fault in FAULTS
        ]
        self._run_all(cases)

    def test_every_fault_at_a_later_time_of_busy_steps(self) -> None:
        busy = ("progress committed", "order sent", "start called", "end reported")
        cases = [
            FaultCase(injections=((at, fault, 3),)) for at in busy for fault in FAULTS
        ]
        self._run_all(cases)

    def test_pairs_that_once_failed(self) -> None:
        """Pairs that failed in random draws, each with the cause of its failure."""
        cases = [
            # The scheduler waited without end for a server that had ended before its
            # agent restarted: nothing reported that its leases had expired.
            FaultCase(
                injections=(
                    ("lease renewed", "server gone", 1),
                    ("start called", "all killed", 3),
                )
            ),
            # The report that a server had ended was lost when its link was closed.
            FaultCase(
                injections=(
                    ("progress committed", "owner cut off", 1),
                    ("order sent", "server gone", 1),
                )
            ),
        ]
        self._run_all(cases)

    def test_pairs_of_faults(self) -> None:
        draw = random.Random(SEED)
        steps, faults = list(STEPS), list(FAULTS)
        cases = []
        for _ in range(PAIR_COUNT):
            first = (draw.choice(steps), draw.choice(faults), draw.randint(1, 4))
            second = (draw.choice(steps), draw.choice(faults), draw.randint(1, 6))
            cases.append(FaultCase(injections=(first, second)))
        self._run_all(cases)


class SafeguardTest(testtools.TestCase):
    """For each safeguard, a case that passes with it and fails without it.

    That of the condition on the owner row is in `test_jobs_former_owner`.
    """

    def test_without_the_wait_for_lease_expiry_a_task_runs_twice(self) -> None:
        case = FaultCase(injections=(("start called", "host cut off", 3),))
        self.assertEqual([], run_case(case, payload="4.0"))
        with mock.patch.object(lease_expiry, "leases_expired_at", _expired_early):
            self.assertNotEqual([], run_case(case, payload="4.0"))

    def test_without_the_barring_of_late_starts_a_task_runs_twice(self) -> None:
        case = FaultCase(injections=(("stop called", "orders late", 1),))
        self.assertEqual([], run_case(case))
        with mock.patch.object(FakeExecutor, "_bar", lambda self, ref: None):
            self.assertNotEqual([], run_case(case))
