"""Tests of what a task remembers of the hosts that refused it.

A host that refuses a start stays the emptiest and would be chosen again at once. If it
were shut out instead, a task that fits nowhere else would never run.
"""

from __future__ import annotations

import testtools
from immutables import Map

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.candidate import Candidate
from bulrushpulley.entities.jobs.explanation import ExplainJob, JobExplained
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.task import Task, TaskState
from bulrushpulley.systems.scheduling import host_candidates, placing, refusals
from bulrushpulley.systems.scheduling.refusals import (
    MAX_REFUSALS,
    MAX_REFUSED_RETRY_DELAY_S,
    MIN_REFUSED_RETRY_DELAY_S,
    REFUSAL_MEMORY_S,
)
from test.jobs_refusals import DenyStarts, Trouble, TroubledExecutor
from test.jobs_world import JobsWorld, step
from test.test_jobs_start_accounting import EMPTIEST_HOST, LONG, site

# A refusal takes a stop and a list, a retry the delay and the next placement pass.
MAX_REFUSED_START_S = 1.0
PASS_DELAY_S = placing.PLACEMENT_INTERVAL_S + 0.1
TASK = Task(
    task_id="j.0.0.0",
    job_id="j",
    occurrence=0,
    step=0,
    index=0,
    state=TaskState.HELD,
    since=0.0,
    host="a",
    life="i-a/1",
)


def candidates(**life_by_host: str) -> Map[str, Candidate]:
    """Return candidates with the incarnations of their backend servers."""
    return Map(
        {
            name: host_candidates.candidate_of(Host(name=name, life=life))
            for name, life in life_by_host.items()
        }
    )


def placements(world: JobsWorld, task_id: str) -> list[str]:
    """Return the hosts on which a task was placed, in order."""
    return [
        line.chosen
        for line in world.decisions
        if line.kind == "task.place" and line.subject.startswith(f"{task_id}#")
    ]


class RefusalTest(testtools.TestCase):
    def test_a_host_is_remembered_for_a_short_time(self) -> None:
        task = refusals.with_refusal(TASK, 10.0)
        known = candidates(a="i-a/1", b="i-b/1")
        before, after = 10.0 + REFUSAL_MEMORY_S - 0.1, 10.0 + REFUSAL_MEMORY_S + 0.1
        self.assertEqual(
            (frozenset("a"), frozenset()), refusals.refusing_hosts(task, known, before)
        )
        self.assertEqual(
            (frozenset(), frozenset()), refusals.refusing_hosts(task, known, after)
        )

    def test_the_next_incarnation_has_not_refused(self) -> None:
        task = refusals.with_refusal(TASK, 10.0)
        self.assertEqual(
            (frozenset(), frozenset()),
            refusals.refusing_hosts(task, candidates(a="i-a/2"), 10.1),
        )
        again = refusals.with_refusal(replace(task, life="i-a/2"), 10.5)
        self.assertEqual([("i-a/2", 1)], [(r.life, r.count) for r in again.refusals])

    def test_the_retry_delay_doubles_to_a_limit(self) -> None:
        known = candidates(a="i-a/1")
        task, now = TASK, 10.0
        longest_s = MAX_REFUSED_RETRY_DELAY_S
        for delay_s in (MIN_REFUSED_RETRY_DELAY_S, 0.8, *[longest_s] * 4):
            task = refusals.with_refusal(task, now)
            early, due = now + delay_s - 0.01, now + delay_s + 0.01
            self.assertIn("a", refusals.refusing_hosts(task, known, early)[1])
            self.assertNotIn("a", refusals.refusing_hosts(task, known, due)[1])
            now = due + MAX_REFUSED_START_S

    def test_few_hosts_are_remembered(self) -> None:
        task = TASK
        for number in range(MAX_REFUSALS + 5):
            task = refusals.with_refusal(replace(task, host=f"h{number}"), 10.0)
        self.assertEqual(MAX_REFUSALS, len(task.refusals))
        self.assertEqual(f"h{MAX_REFUSALS + 4}", task.refusals[-1].host)

    def test_a_gang_remembers_what_its_members_do(self) -> None:
        first = refusals.with_refusal(TASK, 10.0)
        second = refusals.with_refusal(replace(TASK, host="b"), 10.2)
        third = refusals.with_refusal(replace(first, host="a"), 10.4)
        merged = refusals.merged([first, second, third])
        self.assertEqual([("b", 1), ("a", 2)], [(r.host, r.count) for r in merged])


class OnlyHostTest(testtools.TestCase):
    def test_a_refusing_host_is_tried_again_if_no_other_fits(self) -> None:
        world = JobsWorld(hosts=1)
        (host,) = sorted(world.executor_by_host)
        world.run(2.0)
        server = TroubledExecutor(world=world, host=host)
        server.trouble = DenyStarts(reason="room")
        job = world.submit(1, step(1), payload=LONG)
        world.run(10.0)
        tried = len(placements(world, f"{job}.0.0.0"))
        # Delays of 0.4 s and 0.8 s come first.
        cycle_s = MAX_REFUSED_RETRY_DELAY_S
        self.assertGreater(tried, 2)
        self.assertLessEqual(tried, 3 + 10.0 / cycle_s)
        server.trouble = Trouble()
        runs = world.run_until(
            lambda: bool(server.executor.run_by_key),
            MAX_REFUSED_START_S + MAX_REFUSED_RETRY_DELAY_S + PASS_DELAY_S,
        )
        self.assertTrue(runs)
        self.assertEqual([], world.violations)

    def test_operators_see_that_it_refused(self) -> None:
        world = JobsWorld(hosts=1)
        (host,) = sorted(world.executor_by_host)
        world.run(2.0)
        server = TroubledExecutor(world=world, host=host)
        server.trouble = DenyStarts(reason="room")
        job = world.submit(1, step(1), payload=LONG)
        details = []
        for _ in range(30):
            world.run(0.1)
            question = ExplainJob(call_id="explain", job_id=job)
            world.tell(world.process_by_name[world.owner()], "scheduler", question)
            world.run(0.02)
            answer = world.explanations[-1]
            assert isinstance(answer, JobExplained)
            details.append(answer.tasks[0].detail)
        self.assertTrue(
            any(", 1 of them refused it recently; no" in detail for detail in details),
            details,
        )


class GangTest(testtools.TestCase):
    def test_no_member_goes_to_a_host_that_refused_another(self) -> None:
        world, server = site()
        server.trouble = DenyStarts(reason="room")
        job = world.submit(2, step(2, gang=True), payload=LONG)

        def all_run() -> bool:
            running = {
                run.order.task_id
                for executor in world.executor_by_host.values()
                for run in executor.run_by_key.values()
            }
            return {f"{job}.0.0.0", f"{job}.0.0.1"} <= running

        # Backend servers end members that wait too long for the others.
        world.run(1.5)
        for executor in world.executor_by_host.values():
            for key in [key for key in executor.run_by_key if key.startswith(job)]:
                executor._end(key, "alone")
        self.assertTrue(world.run_until(all_run, 2.0))
        tried = placements(world, f"{job}.0.0.0") + placements(world, f"{job}.0.0.1")
        self.assertEqual(1, tried.count(EMPTIEST_HOST))
        self.assertEqual([], world.violations)


class NextOwnerTest(testtools.TestCase):
    def test_a_next_owner_tries_the_host_once_more(self) -> None:
        world, server = site()
        server.trouble = DenyStarts(reason="room")
        job = world.submit(2, step(1), payload=LONG)
        world.run(0.3)
        world.kill(world.owner())

        def runs() -> bool:
            return any(
                run.order.task_id == f"{job}.0.0.0"
                for executor in world.executor_by_host.values()
                for run in executor.run_by_key.values()
            )

        self.assertTrue(world.run_until(runs, 10.0))
        tried = placements(world, f"{job}.0.0.0").count(EMPTIEST_HOST)
        self.assertLessEqual(tried, 2)
        self.assertEqual([], world.violations)
