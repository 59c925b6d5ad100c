"""Tests of hosts that are suspended while no owner of the shard reaches them.

A lease is measured on the backend server's clock, which stands still while its host is
suspended, but the owner waits for the end of the lease on a clock that goes on.
"""

from __future__ import annotations

from collections import Counter

import testtools

from bulrushpulley.entities.jobs.executor_calls import StopRun
from bulrushpulley.entities.step import Command
from test.jobs_world import CallOutcome, JobsWorld, Process, step

HOST = "z0-0"
LONG = "40.0"
# Longer than an owner waits before it starts the runs of a silent host elsewhere.
CUT_OFF_S = 15.0
SUSPENDED_S = 4.0
KILL_S = 1.0
LOST_STOPS = 3


class SuspendedHostTest(testtools.TestCase):
    """A host with runs is cut off, and suspended meanwhile."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=3, hosts=4, kill_s=KILL_S)
        # The platform's list would go on to name the backend server, which is up.
        self.world.machines_up = False
        self.world.run(3.0)
        self.world.submit(1, step(8), payload=LONG)
        self.world.run(2.0)
        self.assertNotEqual({}, self.world.executor_by_host[HOST].run_by_key)

    def suspend_after(self, after_s: float) -> None:
        """Cut the host off, suspend it that long after, and run until it is back."""
        self.world.cut_off(HOST, CUT_OFF_S)
        self.world.run(after_s)
        self.world.suspend(HOST, SUSPENDED_S)
        self.world.run(CUT_OFF_S - after_s + 5.0)

    # TWICE: the lease outlasted the owner's wait by the time of the suspension.
    def test_runs_end_before_the_owner_starts_them_elsewhere(self) -> None:
        self.suspend_after(5.3)
        self.assertEqual([], self.world.violations)

    # In a run of review/8 beside other load, a stop took a second longer than usual,
    # and a task ran twice for 0.04 s.
    def test_runs_end_in_time_although_their_first_stops_are_lost(self) -> None:
        lost: Counter[str] = Counter()

        def outcome_of(command: Command, process: Process) -> CallOutcome | None:
            if not isinstance(command, StopRun) or lost[command.run.key] == LOST_STOPS:
                return None
            lost[command.run.key] += 1
            return CallOutcome(carried_out_after_s=(), answered_after_s=None)

        self.world.outcome_of = outcome_of
        self.suspend_after(3.0)
        self.assertEqual({LOST_STOPS}, set(lost.values()))
        self.assertEqual([], self.world.violations)

    # The next process of an agent knows nothing of the contacts of the one before.
    def test_runs_go_on_while_the_agent_restarts(self) -> None:
        self.world.restart(HOST)
        self.world.run(3.0)
        self.assertNotEqual({}, self.world.executor_by_host[HOST].run_by_key)
        self.assertEqual([], self.world.violations)

    # A suspension that is no longer than a cut may be ends no run.
    def test_runs_go_on_through_a_short_suspension(self) -> None:
        self.world.suspend(HOST, SUSPENDED_S)
        self.world.run(12.0)
        self.assertNotEqual({}, self.world.executor_by_host[HOST].run_by_key)
        ends = [each for each in self.world.decisions if each.kind == "run.end"]
        self.assertEqual([], ends)
        self.assertEqual([], self.world.violations)
