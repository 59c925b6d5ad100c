"""Tests of the acknowledgement of ends by an agent that was restarted."""

from __future__ import annotations

from typing import Any

import testtools

from bulrushpulley.entities.jobs.executor_calls import PollRuns
from bulrushpulley.platform.run_lists import MAX_LISTED_ENDS, decode_runs
from test.jobs_world import JobsWorld, step

HOST = "z0-0"
POLL = PollRuns(
    server_id="i", address="a", timeout_s=1.0, fencing_token=1, noted=0, wait_ms=0
)


class RestartedAgentTest(testtools.TestCase):
    """A new agent process does not know which ends its predecessor acknowledged."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=1, hosts=1)
        self.executor = self.world.executor_by_host[HOST]
        self.world.run(2.0)
        self.world.submit(1, step(4), payload="0.3")
        self.world.run(2.0)
        self.world.restart(HOST)
        self.world.run(3.0)

    def test_ends_are_acknowledged_after_a_restart(self) -> None:
        # The agent acknowledged nothing, as it waited for the number 1, and the backend
        # server kept all ends (review/1).
        self.world.submit(2, step(4), payload="0.3")
        self.world.run(3.0)
        self.assertEqual([], self.executor.ends)
        self.assertEqual(8, self.executor.noted)

    def test_tasks_that_are_done_do_not_run_again_after_many_ends(self) -> None:
        # With the list full of old ends, new ones were never listed: their tasks were
        # taken for stopped and ran again, and their jobs went no further (LOST).
        self.executor.max_listed_ends = 6
        for number in range(2, 8):
            self.world.submit(number, step(2), step(2, after=(0,)), payload="0.3")
        self.assertTrue(self.world.run_until(self.world.all_complete, 20.0))
        self.assertEqual(4 + 6 * 4, self.world.starts)
        self.assertEqual([], self.world.violations)


class FullListTest(testtools.TestCase):
    def test_a_run_missing_from_a_full_list_is_not_taken_for_stopped(self) -> None:
        # While the store is down no end is durable, and a full list hides later ones.
        world = JobsWorld(entries=1, hosts=1)
        world.run(2.0)
        world.executor_by_host[HOST].max_listed_ends = 2
        world.submit(1, step(4), payload="0.8")
        world.run(0.5)
        world.store_up = False
        world.run(3.0)
        world.store_up = True
        self.assertTrue(world.run_until(world.all_complete, 10.0))
        self.assertEqual(4, world.starts)
        self.assertEqual([], world.violations)


class EndLinesTest(testtools.TestCase):
    def test_each_end_and_its_acknowledgement_have_a_line_of_the_agent(self) -> None:
        # A run that ended and one that is stuck looked alike in the logs.
        world = JobsWorld(entries=1, hosts=1)
        world.run(2.0)
        job_id = world.submit(1, step(2), payload="0.3")
        self.assertTrue(world.run_until(world.all_complete, 10.0))
        world.run(1.0)
        runs = [f"{job_id}.0.0.0#1", f"{job_id}.0.0.1#1"]
        for kind in ("run.end", "run.noted"):
            lines = [line for line in world.decisions if line.kind == kind]
            self.assertEqual(runs, sorted(line.subject for line in lines))
            self.assertEqual({"done"}, {line.chosen for line in lines})
            numbers = {line.reason.split()[1] for line in lines}
            self.assertEqual({"1", "2"}, numbers)


class ListedEndsTest(testtools.TestCase):
    def decode(self, *ends: Any) -> tuple[int, bool]:
        """Return the first end and whether the list is complete."""
        listed = decode_runs(POLL, {"Finished": list(ends)}, lambda problem: None)
        return listed.first_end, listed.ends_complete

    def test_the_first_end_is_that_of_the_list(self) -> None:
        self.assertEqual((58, True), self.decode([58, "t", 1, "done", ""]))
        self.assertEqual((0, True), self.decode())

    def test_an_unreadable_first_end_is_not_skipped(self) -> None:
        # Ends before the first readable one would be discarded unheard.
        sound = [59, "t", 1, "done", ""]
        for odd in ("x", [], ["58", "t", 1, "done"], [None], [58.5]):
            self.assertEqual((0, True), self.decode(odd, sound))

    def test_a_full_list_may_lack_ends(self) -> None:
        ends = [[number + 1, "t", 1, "done"] for number in range(MAX_LISTED_ENDS)]
        self.assertEqual((1, False), self.decode(*ends))
