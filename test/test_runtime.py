"""Tests of the runtime, the log and the metrics of a process."""

from __future__ import annotations

import json
import os
import threading
from dataclasses import dataclass

import testtools

from bulrushpulley.entities.commit import Committed, ReadRequested, ReportTo
from bulrushpulley.entities.link import Answered, Fetch, Send, Submit
from bulrushpulley.entities.observe import Count, Decision, Observe
from bulrushpulley.entities.step import Event, Step
from bulrushpulley.errors import Problem
from bulrushpulley.logs import (
    MAX_PIECE_BYTES,
    MAX_QUEUED_LINES,
    LineWriter,
    log_decision,
    pack_lines,
)
from bulrushpulley.metrics import MAX_COUNTERS, Metrics
from bulrushpulley.roles.actor import Role
from bulrushpulley.roles.carry_out import Ports
from bulrushpulley.roles.routing import event_for_item, recipients
from bulrushpulley.roles.runtime import Runtime

RUNTIME_STOP_TIMEOUT_S = 3.0
DECISION = Decision(
    kind="route.dispatch",
    subject="r-1",
    chosen="agent-1",
    reason="least load",
    passed_over=("agent-2",),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordedEvents:
    events: tuple[Event, ...] = ()


def record_event(
    event: Event, tables: RecordedEvents, now: float
) -> Step[RecordedEvents]:
    return Step(tables=RecordedEvents(events=(*tables.events, event)))


def fail(event: Event, tables: RecordedEvents, now: float) -> Step[RecordedEvents]:
    raise ValueError("a fault of the role")


class RuntimeTest(testtools.TestCase):
    def start(self) -> Runtime:
        read, write = os.pipe()
        self.addCleanup(os.close, read)
        self.addCleanup(os.close, write)
        runtime = Runtime(name="p", incarnation="p/1", region="ege", log_fd=write)
        runtime.start()
        self.addCleanup(runtime.stop)
        return runtime

    def start_role(self, runtime: Runtime, name: str, apply: object) -> None:
        role = Role(name=name, tables=RecordedEvents(), apply=apply, systems=())  # type: ignore[arg-type]
        ports = Ports(**runtime.ports(answer=lambda command: None))
        runtime.start_role(role, ports)

    def test_a_role_that_fails_stops_the_process(self) -> None:
        runtime = self.start()
        reported: list[Problem] = []
        self.patch(runtime, "report", reported.append)
        self.start_role(runtime, "router", fail)
        runtime.tell("router", Committed(submission_id="a", revision=1))
        self.assertTrue(runtime.stopping.wait(RUNTIME_STOP_TIMEOUT_S))
        self.assertTrue(runtime.failed.is_set())
        self.assertIn("a fault of the role", reported[0].detail)

    def test_the_line_of_a_failed_role_says_where_it_failed(self) -> None:
        """It held the exception alone, which does not tell which row was handled."""
        runtime = self.start()
        reported: list[Problem] = []
        self.patch(runtime, "report", reported.append)
        self.start_role(runtime, "router", fail)
        runtime.tell("router", Committed(submission_id="a", revision=1))
        self.assertTrue(runtime.stopping.wait(RUNTIME_STOP_TIMEOUT_S))
        self.assertRegex(reported[0].detail, r"test_runtime\.py:\d+ fail\b")

    def test_blocking_work_that_fails_stops_the_process(self) -> None:
        runtime = self.start()
        self.start_role(runtime, "guard", record_event)
        runtime.run(role="guard", work=lambda: [][0])
        self.assertTrue(runtime.stopping.wait(RUNTIME_STOP_TIMEOUT_S))
        self.assertTrue(runtime.failed.is_set())

    def test_work_for_which_no_thread_can_be_started_stops_the_process(self) -> None:
        """The work was dropped, and its role waited for the answer for ever.

        The system starts no thread beyond the limit of a container.
        """
        runtime = self.start()
        self.start_role(runtime, "guard", record_event)

        def refuse(thread: threading.Thread) -> None:
            raise RuntimeError("can't start new thread")

        self.patch(threading.Thread, "start", refuse)
        runtime.run(role="guard", work=Event)
        self.assertTrue(runtime.stopping.wait(RUNTIME_STOP_TIMEOUT_S))
        self.assertTrue(runtime.failed.is_set())

    def test_work_after_the_stop_is_dropped(self) -> None:
        runtime = self.start()
        self.start_role(runtime, "guard", record_event)
        runtime.stopping.set()
        runtime._pool_by_role["guard"].shutdown()
        runtime.run(role="guard", work=Event)
        self.assertFalse(runtime.failed.is_set())

    def test_an_outcome_reaches_the_role_or_the_peer_that_asked(self) -> None:
        runtime = self.start()
        sent: list[Send] = []
        self.patch(runtime.links, "send", sent.append)
        delivered_events: list[tuple[str, Event]] = []
        self.patch(
            runtime, "tell", lambda role, event: delivered_events.append((role, event))
        )
        outcome = Committed(submission_id="a", revision=1)
        runtime.report_to(ReportTo(origin="router", outcome=outcome))
        runtime.report_to(ReportTo(origin="agent-1-ab", outcome=outcome))
        self.assertEqual([("router", outcome)], delivered_events)
        self.assertEqual(1, len(sent))

    def test_items_go_to_their_roles(self) -> None:
        fetch = Fetch(peer="a", fetch_id="f", prefix="p/", since=3)
        read_request = ReadRequested(origin="a", fetch_id="f", prefix="p/", since=3)
        self.assertEqual(("committer",), recipients(fetch))
        self.assertEqual(read_request, event_for_item(fetch))
        answered = Answered(attempt_id="1", status=200, body=b"", took_s=0.1)
        self.assertEqual(("router",), recipients(answered))
        self.assertEqual((), recipients(Event()))
        self.assertEqual(("committer",), recipients.dispatch(Submit)(Event()))


class LogsTest(testtools.TestCase):
    def test_each_decision_is_one_line_of_json(self) -> None:
        read, write = os.pipe()
        writer = LineWriter(fd=write, count=lambda count: None)
        writer.start()
        log_decision(DECISION, process="entry-1")
        writer.stop()
        os.close(write)
        with os.fdopen(read) as lines:
            line = json.loads(lines.read())
        self.assertEqual("route.dispatch", line["message_type"])
        self.assertEqual(("r-1", "agent-1"), (line["subject"], line["chosen"]))
        self.assertEqual(["agent-2"], line["passed_over"])

    def test_lines_are_packed_whole_into_pieces_of_bounded_size(self) -> None:
        """A pipe passes larger writes on in parts, between which lines were lost."""
        short = b"x" * 999 + b"\n"
        longer = b"y" * MAX_PIECE_BYTES + b"\n"
        exact = b"z" * (MAX_PIECE_BYTES - 1) + b"\n"
        self.assertEqual([], list(pack_lines([])))
        for lines, sizes in (
            ([short], [1]),
            ([short] * 9, [4, 4, 1]),
            ([exact, exact], [1, 1]),
            ([short, exact, short], [1, 1, 1]),
            ([short, longer, short, short], [1, 1, 2]),
            ([longer], [1]),
        ):
            pieces = list(pack_lines(lines))
            self.assertEqual(b"".join(lines), b"".join(pieces))
            self.assertEqual(sizes, [piece.count(b"\n") for piece in pieces])
            self.assertTrue(all(piece.endswith(b"\n") for piece in pieces))

    def test_each_write_to_a_pipe_holds_whole_lines(self) -> None:
        """In packet mode each read returns the data of one write at most."""
        read, write = os.pipe2(os.O_DIRECT)
        writer = LineWriter(fd=write, count=lambda count: None)
        for number in range(60):
            writer.put({"number": number, "text": "x" * 300})
        writer.start()
        writer.stop()
        os.close(write)
        written = []
        while piece := os.read(read, 65_536):
            written.append(piece)
        os.close(read)
        self.assertTrue(all(len(piece) <= MAX_PIECE_BYTES for piece in written))
        self.assertTrue(all(piece.endswith(b"\n") for piece in written))
        self.assertEqual(60, b"".join(written).count(b"\n"))

    def test_a_full_log_drops_and_counts_lines_without_delay(self) -> None:
        read, write = os.pipe()
        counts: list[Count] = []
        writer = LineWriter(fd=write, count=counts.append)
        writer.start()
        for number in range(MAX_QUEUED_LINES + 5_000):
            writer.put({"number": number, "text": "x" * 50})
        drainer = threading.Thread(target=_drain, args=(read,), daemon=True)
        drainer.start()
        writer.stop()
        os.close(write)
        drainer.join(RUNTIME_STOP_TIMEOUT_S)
        self.assertTrue(sum(count.by for count in counts) > 0)


def _drain(fd: int) -> None:
    while os.read(fd, 65_536):
        pass
    os.close(fd)


class MetricsTest(testtools.TestCase):
    def test_counters_and_percentiles_are_shown(self) -> None:
        metrics = Metrics()
        metrics.count(Count(name="route.refused", label='a"b', by=2))
        metrics.count(Count(name="route.refused", label='a"b'))
        for number in range(1, 101):
            metrics.observe(Observe(name="t", label="s", seconds=number / 1000))
        text = metrics.text()
        self.assertIn('route_refused{label="a\\"b"} 3\n', text)
        self.assertIn('t_seconds{label="s",quantile="0.5"} 0.05', text)
        self.assertIn('t_seconds_count{label="s"} 100\n', text)

    def test_labels_beyond_the_bound_are_counted_together(self) -> None:
        metrics = Metrics()
        for number in range(MAX_COUNTERS + 10):
            metrics.count(Count(name="n", label=str(number)))
        self.assertEqual(10, metrics.counter_value("n", "other"))
