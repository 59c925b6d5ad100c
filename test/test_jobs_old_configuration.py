"""Tests that no entry answers by a configuration older than the bound.

The store's feed returns each version of a row since the one that was asked for. While a
large configuration changed faster than it crossed the link of an entry, each answer
held more of its old versions than the one before, so the entry fell further behind, and
refused calls to queues that had been added long ago. Nothing told an entry how old its
configuration was, whatever had made it late.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

import testtools

from bulrushpulley.entities.jobs.calls import (
    BacklogShown,
    CallAnswer,
    NoSuchQueue,
    TryLater,
)
from bulrushpulley.entities.jobs.configuration import Queue
from bulrushpulley.entities.jobs.executor_calls import StartRun
from bulrushpulley.entities.jobs.intake_tables import (
    ReadOrders,
    RecheckOrders,
    WatchOrders,
)
from bulrushpulley.entities.jobs.store import (
    HistoryLost,
    RangeRead,
    RowsChanged,
    StoreCommand,
)
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.roles import intake
from test.jobs_world import QUEUE, CallOutcome, JobsWorld, Process, step

# The platform requires a configuration to be in force this long after it was stored.
APPLY_WITHIN_S = 2.5
# No task may start in an evacuated failure domain this long after the order was stored.
EVACUATE_WITHIN_S = 5.0
SHOW_INTERVAL_S = 0.1
CHANGE_INTERVAL_S = 0.33
# How long 420 KB take over a link of 5 Mbit/s.
TRANSFER_S = 0.67
# The same of the 65 KB of 245 queues.
SHORT_TRANSFER_S = 0.1
# A machine that was cut off is held to all bounds again after this time.
IN_TOUCH_AFTER_S = 4.0
ENTRIES = ("entry-0", "entry-1")
ORDER_READS = (ReadOrders, WatchOrders, RecheckOrders)


@dataclass(frozen=True, kw_only=True, slots=True)
class Shown:
    """A call that was made `age_s` after the store had accepted its last change."""

    call_id: str
    entry: str
    age_s: float


def added_queue(number: int) -> Queue:
    """Return a queue that a change of the configuration adds."""
    return replace(QUEUE, name=f"r-{number}", path_prefix=f"/added-{number}/")


class OldConfigurationTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=len(ENTRIES), hosts=3)
        self.world.run(5.0)

    def show_all(
        self, queues: Iterable[tuple[Queue, float]], entries: Iterable[str]
    ) -> list[Shown]:
        """Make a call to each queue, given with the time of its change, at entries."""
        world = self.world
        shown = []
        for entry in entries:
            for queue, changed_at in queues:
                call_id = f"{entry}-{queue.name}-{world.now:.2f}"
                world.show(call_id, queue, entry=entry)
                shown.append(
                    Shown(call_id=call_id, entry=entry, age_s=world.now - changed_at)
                )
        return shown

    def add_queues(self, *, seconds: float) -> dict[Queue, float]:
        """Add a queue in each change of a storm; return when each was stored."""
        added_at: dict[Queue, float] = {}

        def add() -> None:
            added_at[added_queue(len(added_at))] = self.world.now
            self.world.configure(QUEUE, *added_at)

        for number in range(int(seconds / CHANGE_INTERVAL_S)):
            self.world.at(number * CHANGE_INTERVAL_S, add)
        return added_at

    def answers_of(
        self, kind: type[CallAnswer], shown: list[Shown]
    ) -> list[tuple[str, float]]:
        """Return entries and ages of the calls that were answered so."""
        return [
            (call.entry, round(call.age_s, 2))
            for call in shown
            if isinstance(self.world.answer_to(call.call_id), kind)
        ]

    def watch_storm(self, *, seconds: float) -> list[Shown]:
        """Return calls at all entries to the newest queue that has to be served."""
        added_at = self.add_queues(seconds=seconds)
        shown: list[Shown] = []
        ends_at = self.world.now + seconds + 2 * APPLY_WITHIN_S
        while self.world.now < ends_at:
            due = [
                (queue, at)
                for queue, at in added_at.items()
                if self.world.now - at > APPLY_WITHIN_S
            ]
            shown.extend(self.show_all(due[-1:], ENTRIES))
            self.world.run(SHOW_INTERVAL_S)
        self.world.run(1.0)
        return shown

    def leave_unanswered(self, entry: str) -> None:
        """Leave the reads of operators' orders by an entry without answer."""

        def outcome(command: Command, process: Process) -> CallOutcome | None:
            is_order_read = isinstance(getattr(command, "purpose", None), ORDER_READS)
            if process.name != entry or not is_order_read:
                return None
            return CallOutcome(answered_after_s=None)

        self.world.outcome_of = outcome

    def test_a_large_configuration_that_changes_often_is_in_force_in_time(self) -> None:
        self.world.configuration_transfer_s = TRANSFER_S
        shown = self.watch_storm(seconds=12.0)
        self.assertEqual([], self.answers_of(NoSuchQueue, shown))
        # A refusal costs its caller a try elsewhere, so nearly all calls are served.
        later = self.answers_of(TryLater, shown)
        self.assertLessEqual(len(later), len(shown) / 20, later)

    def test_jobs_and_evacuations_go_on_beside_changes_of_a_large_configuration(
        self,
    ) -> None:
        # Evacuations are read by the same calls as the configuration, and rows of jobs
        # over the same link.
        world = self.world
        world.configuration_transfer_s = TRANSFER_S
        self.add_queues(seconds=15.0)
        world.run(5.0)
        world.evacuate("z0")
        evacuated_at = world.now
        started_at: list[float] = []

        def note_start(command: Command) -> None:
            if isinstance(command, StartRun) and command.server_id.startswith("z0"):
                started_at.append(round(world.now - evacuated_at, 2))

        world.hook = note_start
        for number in range(40):
            world.submit(number, step(2), payload="0.3")
            world.run(0.3)
        late = [after_s for after_s in started_at if after_s > EVACUATE_WITHIN_S]
        self.assertEqual([], late)
        self.assertTrue(world.run_until(world.all_complete, 10.0))

    def test_a_store_that_sends_a_large_configuration_counts_as_reachable(self) -> None:
        # Submissions were refused while the only answer was still being transferred.
        world = self.world
        world.configuration_transfer_s = TRANSFER_S
        world.configure(QUEUE, added_queue(0))
        world.run(3.0)
        begun = len(world.decisions)
        for number in range(1, 20):
            world.configure(QUEUE, added_queue(number))
            # Changes come at all moments of a watch, and of a second read.
            world.run(2.63)
        lines = [line for line in world.decisions[begun:] if line.kind == "entry.ready"]
        self.assertEqual([], lines)

    def test_an_entry_that_cannot_read_the_configuration_refuses_calls(self) -> None:
        self.leave_unanswered("entry-1")
        self.check_no_answer_by_an_old_configuration(lambda: None)

    def test_an_entry_that_stood_still_refuses_calls(self) -> None:
        self.leave_unanswered("entry-1")
        freeze = self.world.freeze
        self.check_no_answer_by_an_old_configuration(lambda: freeze("entry-1", 4.0))

    def test_an_answer_from_before_an_entry_stood_still_confirms_nothing_later(
        self,
    ) -> None:
        world = self.world
        queue = added_queue(1)
        world.freeze("entry-1", 6.0)
        # The watch has been answered by then: nothing had changed.
        world.run(2.0)
        world.configure(QUEUE, queue)
        changed_at = world.now
        shown: list[Shown] = []
        while world.now < changed_at + 2 * APPLY_WITHIN_S:
            world.run(SHOW_INTERVAL_S)
            if world.now - changed_at > APPLY_WITHIN_S:
                shown.extend(self.show_all([(queue, changed_at)], ["entry-1"]))
        world.run(1.0)
        self.assertEqual([], self.answers_of(NoSuchQueue, shown))
        self.assertNotEqual([], self.answers_of(TryLater, shown))
        self.assertNotEqual([], self.answers_of(BacklogShown, shown))

    def test_an_entry_that_was_cut_off_from_the_store_is_soon_up_to_date(self) -> None:
        world = self.world
        world.configuration_transfer_s = SHORT_TRANSFER_S
        added_at = self.add_queues(seconds=8.0)
        world.run(2.0)
        world.cut_off_from_store.add("entry-1")
        world.run(5.0)
        world.cut_off_from_store.clear()
        world.run(IN_TOUCH_AFTER_S)
        newest = list(added_at.items())[-1]
        shown = self.show_all([newest], ["entry-1"])
        world.run(0.5)
        self.assertEqual(1, len(self.answers_of(BacklogShown, shown)))

    def check_no_answer_by_an_old_configuration(
        self, disturb: Callable[[], None]
    ) -> None:
        """Check calls to an added and a dropped queue at an entry that sees neither."""
        world = self.world
        queue, dropped = added_queue(1), QUEUE
        world.configure(queue)
        changed_at = world.now
        disturb()
        shown: list[Shown] = []
        shown_dropped: list[Shown] = []
        while world.now < changed_at + 3 * APPLY_WITHIN_S:
            if world.now - changed_at > APPLY_WITHIN_S:
                shown.extend(self.show_all([(queue, changed_at)], ["entry-1"]))
                shown_dropped.extend(
                    self.show_all([(dropped, changed_at)], ["entry-1"])
                )
            world.run(SHOW_INTERVAL_S)
        world.run(3.0)
        self.assertEqual([], self.answers_of(NoSuchQueue, shown))
        self.assertEqual([], self.answers_of(BacklogShown, shown_dropped))
        world.outcome_of = None
        world.run(2.0)
        again = self.show_all([(queue, changed_at)], ["entry-1"])
        world.run(0.5)
        self.assertEqual(1, len(self.answers_of(BacklogShown, again)))


class ConfirmedOrdersTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.role = intake.build()
        self.tables = self.role.tables
        self.calls: list[StoreCommand] = []

    def tick(self, now: float, *events: Event) -> None:
        """Run one tick and keep the calls of the store that it makes."""
        step = self.role.tick(self.tables, events, now)
        self.tables = step.tables
        self.calls = [call for call in step.commands if isinstance(call, StoreCommand)]

    def test_an_answer_to_a_call_that_was_replaced_confirms_nothing(self) -> None:
        self.tick(10.0)
        (first_read,) = self.calls
        orders = RangeRead(purpose=first_read.purpose, rows=(), version=5)
        self.tick(10.1, orders)
        (replaced_watch,) = self.calls
        # A second read finds that the history is lost, so the orders are read again.
        self.tick(10.9, HistoryLost(purpose=RecheckOrders(watched=5)))
        (second_read,) = self.calls
        self.tick(11.0, replace(orders, purpose=second_read.purpose))
        self.assertEqual(10.9, self.tables.orders_confirmed_at)
        unchanged = RowsChanged(purpose=replaced_watch.purpose, rows=(), version=5)
        self.tick(11.2, unchanged)
        self.assertEqual(10.9, self.tables.orders_confirmed_at)
        self.tick(11.3, orders)
        self.assertEqual(10.9, self.tables.orders_confirmed_at)
