"""The lines of a recovery: few, so that none is dropped, and each with much in it.

A recovery changes many jobs and tasks at once. Without these lines a log does not say
in which state a new owner found a job, or takes a line for each task of a lost host.
"""

from __future__ import annotations

import testtools
from testtools.matchers import EndsWith, StartsWith

from bulrushpulley.entities.observe import Decision
from bulrushpulley.systems.scheduling import endings, restoring
from test.jobs_world import JobsWorld, step


class RecoveryLinesTest(testtools.TestCase):
    def _lines(self, world: JobsWorld, kind: str) -> list[Decision]:
        return [line for line in world.decisions if line.kind == kind]

    def test_a_new_owner_has_a_line_for_each_job_that_has_not_ended(self) -> None:
        world = JobsWorld(hosts=1)
        world.run(2.0)
        ended = world.submit(1, step(1), payload="0.2")
        running = world.submit(2, step(1), step(2, after=(0,)), payload="3.0")
        self.assertTrue(
            world.run_until(lambda: self._second_step_runs(world, running), 5.0)
        )
        waiting = world.submit(3, *(step(99) for _ in range(12)))
        world.run(0.3)
        world.decisions.clear()
        world.kill(world.owner())
        self.assertTrue(world.run_until(lambda: bool(world.owner()), 8.0))
        kinds = [line.kind for line in world.decisions]
        self.assertLess(kinds.index("job.restore"), kinds.index("shard.ready"))
        lines = self._lines(world, "job.restore")
        reason_by_job = {line.subject: line.reason for line in lines}
        self.assertEqual({running, waiting}, set(reason_by_job))
        self.assertEqual(2, len(lines))
        self.assertNotIn(ended, reason_by_job)
        self.assertEqual(
            "running; 1 of 2 steps done; step 1: 2 held", reason_by_job[running]
        )
        self.assertThat(reason_by_job[waiting], StartsWith("running; 0 of 12 steps "))
        self.assertThat(reason_by_job[waiting], EndsWith("; 4 more steps"))

    def test_the_number_of_lines_is_bounded(self) -> None:
        """The lines are made before the new owner places anything."""
        self.patch(restoring, "MAX_RESTORE_LINES", 3)
        world = JobsWorld(hosts=1)
        world.run(2.0)
        for number in range(5):
            world.submit(number, step(1), payload="60.0")
        world.run(1.0)
        world.decisions.clear()
        world.kill(world.owner())
        self.assertTrue(world.run_until(lambda: bool(world.owner()), 8.0))
        reasons = [line.reason for line in self._lines(world, "job.restore")]
        self.assertEqual(3, len(reasons))
        self.assertThat(reasons[-1], EndsWith("; 2 more jobs are left out"))
        self.assertNotIn("left out", reasons[0])

    def _second_step_runs(self, world: JobsWorld, job: str) -> bool:
        return any(
            line.kind == "run.start" and line.subject.startswith(f"{job}.0.1.1")
            for line in world.decisions
        )

    def test_the_lost_runs_of_a_host_are_in_one_line(self) -> None:
        world = JobsWorld(entries=1, hosts=1)
        world.run(2.0)
        job = world.submit(1, step(3), payload="9.0")
        world.run(1.0)
        world.decisions.clear()
        world.kill("z0-0")
        world.run_until(lambda: bool(self._lines(world, "host.lost")), 15.0)
        world.run(0.5)
        [line] = self._lines(world, "host.lost")
        self.assertEqual(("z0-0", "3 runs"), (line.subject, line.chosen))
        runs = " ".join(f"{job}.0.0.{index}#1" for index in range(3))
        self.assertThat(line.reason, EndsWith(f" too long: {runs}"))
        self.assertEqual([], self._lines(world, "task.end"))

    def test_a_line_names_a_bounded_number_of_runs(self) -> None:
        runs = [f"a.0.0.{index}#1" for index in range(endings.MAX_RUNS_PER_LINE + 2)]
        first, second = endings.lost_run_texts("silent", runs)
        self.assertEqual(endings.MAX_RUNS_PER_LINE, first.count("#"))
        self.assertEqual(f"silent: {runs[-2]} {runs[-1]}", second)
