"""Tests of starts that do not take hold, while another host has room.

The emptiest host does not start what it is ordered to start, for a reason that lasts. A
task must then run elsewhere: the users' rule counts a job as LOST that has nothing
running for 3 s while there is capacity for it, and a lasting task that does not run 6 s
after its last run.
"""

from __future__ import annotations

from dataclasses import dataclass

import testtools

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.advice import AdviceTerms
from bulrushpulley.entities.jobs.executor_calls import StartRun, StartUnanswered
from bulrushpulley.entities.jobs.items import Orders
from bulrushpulley.entities.jobs.runs import RunOrder, RunRef
from bulrushpulley.entities.resources import Resources
from bulrushpulley.systems.job_agent.starting import MAX_STARTS_IN_FLIGHT
from test.jobs_refusals import (
    CarryOutLate,
    DenyStarts,
    LoseListsAtTimes,
    LoseStarts,
    RefuseStarts,
    Trouble,
    TroubledExecutor,
)
from test.jobs_world import QUEUE, JobsWorld, step
from test.test_jobs_agent import INCARNATION, OWNER, Bench, commands_of

EMPTIEST_HOST = "z2-2"
# The rule for a lasting task, with nothing else known of the host.
MAX_WAIT_S = 6.0
# The rule for other jobs: 3 s, from 14 s after the end of traffic.
MAX_WAIT_TO_END_S = 17.0
OBSERVED_S = 30.0
PLACEMENTS_WINDOW_S = 10.0
# The reason may have passed soon after the first refusal, but not be tried further.
MAX_PLACEMENTS_ON_A_HOST = 3
LONG = "90.0"


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """How long a task waited, None if to the end, and its placements on the host."""

    wait_s: float | None
    placements: int
    violations: tuple[str, ...]


def site(*, advice: bool = False) -> tuple[JobsWorld, TroubledExecutor]:
    """Return a site of three hosts; the third is empty, the others a quarter full."""
    world = JobsWorld(hosts=2)
    world.run(2.0)
    world.submit(1, step(2), payload=LONG)
    world.run(1.0)
    if advice:
        terms = AdviceTerms(decide_s=0.05, per_server_s=0.001, valid_s=2.0)
        world.configure(replace(QUEUE, advice=terms))
    world.start_host(EMPTIEST_HOST)
    server = TroubledExecutor(world=world, host=EMPTIEST_HOST)
    world.run(2.0)
    return world, server


def observe(
    trouble: Trouble, *, lasting: bool = False, tasks: int = 1, advice: bool = False
) -> Outcome:
    """Let the emptiest host have a trouble, submit a job and follow its first task."""
    world, server = site(advice=advice)
    server.trouble = trouble
    submitted_at = world.now
    job = world.submit(2, step(tasks, lasting=lasting), payload=LONG)

    def all_run() -> bool:
        running = {
            run.order.task_id
            for executor in world.executor_by_host.values()
            for run in executor.run_by_key.values()
        }
        return all(f"{job}.0.0.{index}" in running for index in range(tasks))

    ran = world.run_until(all_run, PLACEMENTS_WINDOW_S)
    waited_s = world.now - submitted_at
    world.run(PLACEMENTS_WINDOW_S - waited_s)
    placements = sum(
        line.kind == "task.place"
        and line.subject.startswith(f"{job}.0.0.0#")
        and line.chosen == EMPTIEST_HOST
        for line in world.decisions
    )
    if not ran:
        ran = world.run_until(all_run, OBSERVED_S - PLACEMENTS_WINDOW_S)
        waited_s = world.now - submitted_at
    return Outcome(
        wait_s=waited_s if ran else None,
        placements=placements,
        violations=tuple(world.violations),
    )


class StartsTest(testtools.TestCase):
    """Base class of the cases."""

    def check(self, outcome: Outcome, max_wait_s: float = MAX_WAIT_S) -> None:
        """Check that the tasks ran in time, without many placements on the host."""
        self.assertEqual((), outcome.violations)
        self.assertIsNotNone(outcome.wait_s, f"did not run: {outcome}")
        assert outcome.wait_s is not None
        self.assertLess(outcome.wait_s, max_wait_s)
        self.assertLessEqual(outcome.placements, MAX_PLACEMENTS_ON_A_HOST)


class RefusedStartTest(StartsTest):
    """Each start on the emptiest host is refused.

    A refused run ends, and its task waits again. Nothing records the refusal, so the
    host that refused it is still the emptiest.
    """

    def test_no_room(self) -> None:
        self.check(observe(DenyStarts(reason="room")))

    def test_no_room_for_a_lasting_task(self) -> None:
        self.check(observe(DenyStarts(reason="room"), lasting=True))

    def test_no_room_for_the_tasks_of_a_step(self) -> None:
        self.check(observe(DenyStarts(reason="room"), tasks=3))

    def test_old(self) -> None:
        self.check(observe(DenyStarts(reason="old")))

    def test_ticket(self) -> None:
        self.check(observe(DenyStarts(reason="ticket"), advice=True))

    def test_fence(self) -> None:
        self.check(observe(DenyStarts(reason="fence")))

    def test_status_400(self) -> None:
        self.check(observe(DenyStarts(reason="status 400")))

    def test_status_503(self) -> None:
        self.check(observe(RefuseStarts()))


class UnsettledStartTest(StartsTest):
    """Starts on the emptiest host have no definite answer, while it lists its runs.

    The agent repeats such a start for as long as the backend server lists its runs, and
    the owner waits for the run for as long as the agent makes contact.
    """

    def test_late(self) -> None:
        self.check(observe(DenyStarts(reason="late")))

    def test_no_answer(self) -> None:
        self.check(observe(LoseStarts()))

    def test_no_answer_for_a_lasting_task(self) -> None:
        self.check(observe(LoseStarts(), lasting=True))

    def test_carried_out_two_seconds_late(self) -> None:
        self.check(observe(CarryOutLate(delay_s=2.0)))

    def test_carried_out_five_seconds_late(self) -> None:
        self.check(observe(CarryOutLate(delay_s=5.0)))

    def test_carried_out_after_the_lease_that_it_requests(self) -> None:
        # Such a start is denied as late, and nobody hears of that.
        self.check(observe(CarryOutLate(delay_s=12.0, stops_too=False)))

    def test_starts_and_stops_carried_out_after_the_lease(self) -> None:
        # No answer says that the run is barred, so the lease has to pass first.
        trouble = CarryOutLate(delay_s=12.0)
        self.check(observe(trouble), max_wait_s=MAX_WAIT_TO_END_S)

    def test_lists_fail_at_times(self) -> None:
        # Starts wait while lists fail; the host stays open for up to 1.2 s of that.
        self.check(observe(LoseListsAtTimes(period_s=1.6, fails_s=1.1)))


class StartsInFlightTest(testtools.TestCase):
    def order(self, bench: Bench, first: int, count: int) -> list[RunRef]:
        """Order runs of small tasks, and return the runs whose starts are sent."""
        size = Resources(processors_m=100, memory_mb=100)
        orders = tuple(
            RunOrder(task_id=f"t{index:02}", run=1, payload="p", committed=size)
            for index in range(first, first + count)
        )
        item = Orders(peer=OWNER, epoch=1, life=INCARNATION, start=orders)
        return [
            RunRef(task_id=call.order.task_id, run=1)
            for call in commands_of(StartRun, bench.tell(item))
        ]

    def test_stops_in_flight_do_not_raise_the_limit(self) -> None:
        # The limit less the calls in flight is the end of a slice. Stops of unsettled
        # runs count as calls in flight, so it becomes negative, and a slice with a
        # negative end takes all but the last ones.
        bench = Bench()
        unsettled = self.order(bench, 0, MAX_STARTS_IN_FLIGHT)
        self.assertEqual(MAX_STARTS_IN_FLIGHT, len(unsettled))
        unanswered = [
            StartUnanswered(server_id="i-1", run=run, reason="no answer")
            for run in unsettled
        ]
        stop = Orders(peer=OWNER, epoch=1, life=INCARNATION, stop=tuple(unsettled))
        bench.tell(*unanswered, stop)
        in_flight = self.order(bench, 10, 20)
        in_flight += self.order(bench, 30, 1)
        self.assertLessEqual(len(in_flight), MAX_STARTS_IN_FLIGHT)
