"""Tests of the comparison of the owner's books with those of the agents."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec
import testtools

from bulrushpulley.entities.jobs.books import Books, digest_of
from bulrushpulley.entities.jobs.calls import CancelCall
from bulrushpulley.entities.jobs.items import (
    Contact,
    EndsNoted,
    HostReport,
    Orders,
    RunRefused,
    RunsReport,
)
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Event
from bulrushpulley.wire.job_items import decode_job_item, encode_job_item
from test.jobs_world import QUEUE, JobsWorld, Process, step

HOST = "z0-0"


class BooksTest(testtools.TestCase):
    """One message is lost on an open link, and nothing is lost after it."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=1, hosts=1)
        self.world.run(2.0)

    def lose_first(self, is_lost: Callable[[Event], bool]) -> list[Event]:
        """Lose the first such message; return the list that will hold it."""
        lost: list[Event] = []

        def delays_of(
            item: Event, sender: Process, receiver: Process
        ) -> Iterable[float]:
            if lost or not is_lost(item):
                return (0.0,)
            lost.append(item)
            return ()

        self.world.delays_of = delays_of
        return lost

    def differences(self) -> list[Decision]:
        """Return the lines about books that differ."""
        return [line for line in self.world.decisions if line.kind == "books.differ"]

    def check_seen(self, is_lost: Callable[[Event], bool], difference: str) -> None:
        lost = self.lose_first(is_lost)
        self.world.submit(1, step(2), step(2, after=(0,)), payload="0.5")
        self.world.run(4.0)
        self.assertEqual(1, len(lost))
        lines = self.differences()
        self.assertNotEqual([], lines)
        self.assertEqual((HOST, difference), (lines[0].subject, lines[0].chosen))

    def test_sound_books_do_not_differ(self) -> None:
        for number in range(1, 30):
            self.world.submit(number, step(2), step(2, after=(0,)), payload="0.4")
            self.world.run(0.3)
        self.world.run(5.0)
        self.assertEqual([], self.differences())

    def test_a_lost_end_is_seen(self) -> None:
        self.check_seen(
            lambda item: isinstance(item, RunsReport) and bool(item.ends), "runs"
        )

    def test_a_lost_start_is_seen(self) -> None:
        self.check_seen(
            lambda item: isinstance(item, Orders) and bool(item.start), "orders"
        )

    def test_a_lost_acknowledgement_is_seen(self) -> None:
        self.check_seen(lambda item: isinstance(item, EndsNoted), "ends")

    def test_a_lost_refusal_is_seen(self) -> None:
        self.world.refusing_hosts.add(HOST)
        self.world.at(1.0, self.world.refusing_hosts.clear)
        self.check_seen(lambda item: isinstance(item, RunRefused), "runs")

    def test_a_lost_state_of_a_host_is_seen(self) -> None:
        executor = self.world.executor_by_host[HOST]
        executor.draining = True
        self.check_seen(lambda item: isinstance(item, HostReport), "host")


class AcknowledgementOnBusyHostTest(testtools.TestCase):
    """One acknowledgement is lost while others are always due for the same host."""

    # The platform expects each listed end to be acknowledged within this time.
    MAX_ACKNOWLEDGEMENT_S = 5.0

    def check_noted(self, *, store_slowdown_factor: float) -> None:
        world = JobsWorld(entries=1, hosts=1)
        world.run(2.0)
        world.store_slowdown_factor = store_slowdown_factor
        submitted: list[str] = []

        def submit() -> None:
            number = len(submitted) + 1
            submitted.append(world.submit(number, step(1), payload="0.2"))
            world.at(0.1, submit)

        submit()
        world.run(3.0)
        lost: list[int] = []

        def delays_of(
            item: Event, sender: Process, receiver: Process
        ) -> Iterable[float]:
            if lost or not isinstance(item, EndsNoted):
                return (0.0,)
            lost.extend(item.numbers)
            return ()

        world.delays_of = delays_of
        self.assertTrue(world.run_until(lambda: bool(lost), within_s=2.0))
        executor = world.executor_by_host[HOST]

        def is_noted() -> bool:
            return all(end.number not in lost for end in executor.ends)

        self.assertFalse(is_noted())
        self.assertTrue(world.run_until(is_noted, self.MAX_ACKNOWLEDGEMENT_S))

    def test_a_lost_acknowledgement_on_a_busy_host(self) -> None:
        self.check_noted(store_slowdown_factor=1.0)

    def test_a_lost_acknowledgement_on_a_busy_host_beside_a_slow_store(self) -> None:
        self.check_noted(store_slowdown_factor=60.0)


class BusyHostTest(testtools.TestCase):
    """Orders are on the way to a host whenever its agent makes a contact."""

    LATENCY_S = 0.03
    # Contacts are made at a multiple of this interval.
    JOB_INTERVAL_S = 0.2

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld(entries=1, hosts=1)
        self.lost: list[Event] = []
        self.lost_at = 0.0
        self.is_lost: Callable[[Event], bool] = lambda item: False
        self.world.delays_of = self.delays_of
        self.world.run(2.57)

    def delays_of(
        self, item: Event, sender: Process, receiver: Process
    ) -> Iterable[float]:
        if self.lost or not self.is_lost(item):
            return (self.LATENCY_S,)
        self.lost.append(item)
        self.lost_at = self.world.now
        return ()

    def submit_jobs(self, count: int, first: int = 1) -> None:
        for number in range(first, first + count):
            self.world.submit(number, step(1), payload="0.15")
            self.world.run(self.JOB_INTERVAL_S)

    def differences(self) -> list[Decision]:
        return [line for line in self.world.decisions if line.kind == "books.differ"]

    def test_a_lost_end_is_seen(self) -> None:
        self.submit_jobs(12)
        self.is_lost = lambda item: isinstance(item, RunsReport) and bool(item.ends)
        self.submit_jobs(12, first=13)
        self.assertEqual(1, len(self.lost))
        self.assertEqual(
            [(HOST, "runs"), (HOST, "named")],
            [(line.subject, line.chosen) for line in self.differences()],
        )

    def test_books_do_not_differ_while_orders_are_on_the_way(self) -> None:
        self.submit_jobs(30)
        self.assertEqual([], self.differences())

    def test_books_do_not_differ_while_stops_are_on_the_way(self) -> None:
        for number in range(1, 30):
            job_id = self.world.submit(number, step(1), payload="9.0")
            self.world.run(self.JOB_INTERVAL_S)
            call = CancelCall(
                call_id=f"cancel-{number}",
                authority=QUEUE.authority,
                path=f"{QUEUE.path_prefix}{job_id}",
                within_s=3.0,
                received_at_s=self.world.now,
            )
            self.world.tell(self.world.process_by_name["entry-0"], "intake", call)
        self.world.run(3.0)
        self.assertEqual([], self.differences())


class ContactMessageTest(testtools.TestCase):
    BOOKS = Books(
        adoption=3,
        orders=70_000,
        misses_orders=True,
        runs=digest_of(("r",)),
        host=digest_of(("h",)),
        ends=2,
        oldest_end_s=1.25,
        first_end=90_000,
        verdicts=300,
    )

    def test_books_are_read_as_they_were_sent(self) -> None:
        for books in (self.BOOKS, None):
            sent = Contact(epoch=7, sent_at=12.5, books=books)
            self.assertEqual(sent, decode_job_item(encode_job_item(sent), peer=""))

    def test_an_earlier_version_reads_a_contact_without_its_books(self) -> None:
        data = encode_job_item(Contact(epoch=7, sent_at=12.5, books=self.BOOKS))
        name, fields = msgspec.msgpack.decode(data)
        self.assertEqual("Contact", name)
        self.assertEqual((7, 12.5), (fields["epoch"], fields["sent_at"]))

    def test_a_contact_of_an_earlier_version_has_no_books(self) -> None:
        fields = {"peer": "", "epoch": 7, "sent_at": 12.5}
        data = msgspec.msgpack.encode(("Contact", fields))
        contact = Contact(peer="a", epoch=7, sent_at=12.5)
        self.assertEqual(contact, decode_job_item(data, peer="a"))
