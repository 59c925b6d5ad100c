"""Tests of how soon after an outage of the store a step begins.

What an outage held up passed one transaction after the other once the store was back:
the one that had no answer, then the one with the placements. The first of them waited
for a watch to be answered, up to 1 s. A step that an outage had held up was then judged
as one that could run and does not (LOST at the end of a day).
"""

from __future__ import annotations

from collections.abc import Callable

import testtools

from bulrushpulley.entities.jobs.executor_calls import StartRun
from bulrushpulley.entities.jobs.machines import ListMachines
from bulrushpulley.entities.jobs.scheduler_tables import SCHEDULER, PollOwner
from bulrushpulley.entities.jobs.store import StoreCommand, Transact
from bulrushpulley.entities.step import Command
from bulrushpulley.roles.job_entry_process import SCHEDULER_THREADS
from test.jobs_world import JobsWorld, step

ENTRIES = ("entry-0", "entry-1", "entry-2")
# A job is judged by the last 3 s of a day, and the store may be back this long before
# their end.
MAX_START_DELAY_S = 0.7
OUTAGES_S = tuple(1.0 + 0.25 * number for number in range(29))
# Nothing runs between the end of the first step, at about 1 s, and the return of the
# store.
STEP_S = 1.0
# Enough to notice the end of a trouble within a fraction of a second.
MAX_ATTEMPTS_PER_S = 5
FIRST_TASKS = 4
TASKS = 10


def _silence(world: JobsWorld) -> None:
    world.cut_off_from_store.update(ENTRIES)


def _refuse(world: JobsWorld) -> None:
    world.store_up = False


def _reset(world: JobsWorld) -> None:
    world.resets_transactions = True


def _end(world: JobsWorld) -> None:
    world.resets_transactions = False
    world.cut_off_from_store.clear()
    world.store_up = True


class StoreReturnTest(testtools.TestCase):
    def _start_delay_s(
        self,
        outage_s: float,
        begin: Callable[[JobsWorld], None],
        *,
        before_s: float,
        far: bool = False,
    ) -> float:
        """Return how long after an outage the last task of a second step starts.

        The outage begins `before_s` after the submission, and the first step ends in
        it.
        """
        world = JobsWorld(entries=len(ENTRIES), hosts=4)
        if far:
            world.far_from_store.update(ENTRIES)
        started_at: list[float] = []

        def record(command: Command) -> None:
            if isinstance(command, StartRun):
                started_at.append(world.now)

        world.hook = record
        world.run(3.0)
        world.submit(
            1, step(FIRST_TASKS), step(TASKS - FIRST_TASKS, after=(0,)), payload="1.0"
        )
        world.run(before_s)
        self.assertEqual(FIRST_TASKS, world.starts)
        begin(world)
        world.run(outage_s)
        _end(world)
        back_at = world.now
        self.assertTrue(world.run_until(lambda: world.starts == TASKS, 10.0))
        self.assertEqual([], world.violations)
        return started_at[-1] - back_at

    def _late(self, begin: Callable[[JobsWorld], None], far: bool) -> dict[str, float]:
        delays = {
            f"{outage_s:g} s, begun after {before_s:g} s": self._start_delay_s(
                outage_s, begin, before_s=before_s, far=far
            )
            for outage_s in OUTAGES_S
            for before_s in (0.5, 0.8)
        }
        return {
            case: round(delay_s, 2)
            for case, delay_s in delays.items()
            if delay_s > MAX_START_DELAY_S
        }

    def test_a_step_begins_soon_after_a_silence(self) -> None:
        self.assertEqual({}, self._late(_silence, far=False))

    def test_a_step_begins_soon_after_a_silence_of_a_far_store(self) -> None:
        self.assertEqual({}, self._late(_silence, far=True))

    def test_a_step_begins_soon_after_resets(self) -> None:
        self.assertEqual({}, self._late(_reset, far=False))

    def test_a_step_begins_soon_after_refusals(self) -> None:
        self.assertEqual({}, self._late(_refuse, far=False))


class ResetConnectionsTest(testtools.TestCase):
    """The store closes each connection on which a transaction arrives."""

    def test_the_transaction_is_not_repeated_without_a_pause(self) -> None:
        # Each attempt ended within milliseconds and was followed by the next one, with
        # a line each: 60 to 70 a second.
        world = JobsWorld(entries=1, hosts=1)
        world.run(3.0)
        attempts: list[float] = []

        def record(command: Command) -> None:
            if isinstance(command, Transact) and command.role == SCHEDULER:
                attempts.append(world.now)

        world.hook = record
        _reset(world)
        world.run(5.0)
        self.assertLess(len(attempts), 5 * MAX_ATTEMPTS_PER_S)


class CallsInFlightTest(testtools.TestCase):
    """Each call that is not answered takes a thread of the owner until its timeout.

    Without a free one, the transaction that is sent again at the return of the store
    waits for a timeout after all.
    """

    def _most_in_flight(self, outage_s: float) -> list[str]:
        """Return the calls that the owner has in flight when it has the most."""
        world = JobsWorld(entries=len(ENTRIES), hosts=4)
        calls: list[tuple[float, float, str]] = []

        def record(command: Command) -> None:
            if isinstance(command, ListMachines):
                sent = (world.now, world.now + command.timeout_s, "list of machines")
                calls.append(sent)
            elif isinstance(command, StoreCommand) and command.role == SCHEDULER:
                purpose = command.purpose
                if not isinstance(purpose, PollOwner):
                    name = type(purpose).__name__
                    calls.append((world.now, world.now + command.timeout_s, name))

        world.run(3.0)
        # Rows of jobs that have ended are shortened in the outage, in vain.
        world.submit(1, step(2), payload="0.2")
        world.submit(2, step(2), step(3, after=(0,)), payload="1.0")
        world.run(0.8)
        world.hook = record
        _silence(world)
        # A host is lost, and the service of machines does not answer either.
        world.executor_by_host["z0-0"].crash()
        world.kill("z0-0")
        world.list_delay_s = outage_s
        world.run(outage_s)
        _end(world)
        back_at = world.now
        world.run(0.5)
        most: list[str] = []
        for sent_at, _, name in calls:
            open_calls = [
                other
                for other_sent_at, until, other in calls
                if other_sent_at < min(back_at, sent_at) and sent_at < until
            ]
            most = max(most, [*open_calls, name], key=len)
        return most

    def test_a_thread_is_left_for_the_transaction_that_is_sent_again(self) -> None:
        most = max((self._most_in_flight(outage_s) for outage_s in OUTAGES_S), key=len)
        # An advice call and an order of upkeep may be in flight as well.
        self.assertLessEqual(len(most) + 2, SCHEDULER_THREADS, most)
