"""Tests the worker client against the HTTP stand-in and its fault modes."""

from __future__ import annotations

import http
import socket
import threading
from collections.abc import Callable
from typing import Any

import msgspec
import testtools

from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import TaskClass
from bulrushpulley.entities.worker_calls import (
    Renewal,
    ReportUnanswered,
    RequestReport,
    RunState,
    Started,
    StartNotSent,
    StartTask,
    StartUnknown,
    StopAnswered,
    StopTask,
    ThrottleAnswered,
    ThrottleTask,
    ThrottleUnanswered,
    WorkerReported,
)
from bulrushpulley.platform.worker import WorkerClient
from standins.web import Request, make_server
from standins.worker import Workers

SIZE = Resources(processors_m=1_000, memory_mb=500)


class Clock:
    """A clock whose time the test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Return the time set by the test."""
        return self.now


def answer_garbage(server: socket.socket) -> None:
    """Answer one connection with a malformed HTTP response."""
    connection, _ = server.accept()
    with connection:
        connection.recv(65_536)
        connection.sendall(b"no HTTP at all\r\n\r\n")


class WorkerHttpTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = Clock()
        self.workers = Workers(capacity=SIZE, clock=self.clock)
        server = make_server(handle=self.workers.handle, port=0)
        thread = threading.Thread(target=server.serve)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.stop)
        self.url = f"http://127.0.0.1:{server.bind_addr[1]}/w/w1"
        self.client = WorkerClient(clock=self.clock)

    def _switch(self, mode: str) -> None:
        body = msgspec.json.encode({"mode": mode})
        request = Request(method="POST", path="/w/w1/switch", query={}, body=body)
        response = self.workers.handle(request)
        self.assertEqual(http.HTTPStatus.OK, response.status)

    def _common(self, not_after: float) -> dict[str, Any]:
        return {"worker_id": "w1", "url": self.url, "not_after": not_after}

    def _start(
        self, not_after: float = 101.0, url: str = "", run_s: float = 10.0
    ) -> Any:
        command = StartTask(
            **{**self._common(not_after), **({"url": url} if url else {})},
            task_key="task/c0/curves/0",
            task_id="curves/0",
            generation=3,
            size=SIZE,
            lease_s=30.0,
            run_s=run_s,
            checkpoint="2.500",
            task_class=TaskClass.BATCH,
        )
        return self.client.start(command)

    def _report(self) -> Any:
        renewal = Renewal(task_id="curves/0", generation=3, lease_s=30.0)
        command = RequestReport(
            **self._common(1e9), requested_at=self.clock.now, renewals=(renewal,)
        )
        return self.client.report(command)

    def _states(self) -> list[RunState]:
        report = self._report()
        self.assertIsInstance(report, WorkerReported)
        return [run.state for run in report.runs]

    def test_a_task_runs_is_renewed_and_stops_with_a_checkpoint(self) -> None:
        self.assertIsInstance(self._start(), Started)
        self.clock.now = 102.0
        self.assertEqual([RunState.RUNNING], self._states())
        stop = StopTask(
            **self._common(1e9), task_id="curves/0", generation=3, checkpoint=True
        )
        self.assertIsInstance(self.client.stop(stop), StopAnswered)
        runs = self._report().runs
        self.assertEqual(
            [(RunState.STOPPED, "4.500")], [(r.state, r.checkpoint) for r in runs]
        )

    def test_a_start_past_its_deadline_is_not_sent(self) -> None:
        self.assertIsInstance(self._start(not_after=99.0), StartNotSent)
        self.assertEqual([], self._states())

    def test_a_throttle_past_its_deadline_is_not_sent(self) -> None:
        self._start()
        cases = ((99.0, ThrottleUnanswered, 1.0), (1e9, ThrottleAnswered, 0.5))
        for not_after, outcome, share in cases:
            command = ThrottleTask(
                **self._common(not_after),
                task_key="task/c0/curves/0",
                task_id="curves/0",
                generation=3,
                share=0.5,
            )
            self.assertIsInstance(self.client.throttle(command), outcome)
            self.clock.now += 2.0
            (run,) = self.workers._find_worker("w1").state.runs.rows()
            self.assertEqual(share, run.share)
            self.clock.now -= 2.0

    def test_without_the_deadline_check_a_late_start_arrives(self) -> None:
        self.client = WorkerClient(clock=lambda: 0.0)
        self.assertIsInstance(self._start(not_after=99.0), Started)
        self.assertEqual([RunState.RUNNING], self._states())

    def test_a_malformed_answer_or_url_yields_an_outcome_without_a_crash(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            thread = threading.Thread(target=answer_garbage, args=(server,))
            thread.start()
            port = server.getsockname()[1]
            outcome = self._start(url=f"http://127.0.0.1:{port}/w/w1")
            thread.join()
        self.assertIsInstance(outcome, StartUnknown)
        for url in ("http://127.0.0.1:99999/w", "http://[::1/w", "no url"):
            self.assertIsInstance(self._start(url=url), StartNotSent, url)

    def test_a_refused_connection_means_not_sent(self) -> None:
        outcome = self._start(url="http://127.0.0.1:1/w/w1")
        self.assertIsInstance(outcome, StartNotSent)

    def test_a_lost_answer_leaves_the_outcome_unknown(self) -> None:
        self._switch("lose_answers")
        self.assertIsInstance(self._start(), StartUnknown)
        self.assertIsInstance(self._report(), ReportUnanswered)
        self._switch("up")
        self.assertEqual([RunState.RUNNING], self._states())

    def test_modes_down_and_fail_all(self) -> None:
        cases: tuple[tuple[str, type, Callable[[], list[RunState]]], ...] = (
            ("down", StartUnknown, list),
            ("fail_all", Started, lambda: [RunState.FAILED]),
        )
        for mode, outcome, states in cases:
            self._switch(mode)
            self.assertIsInstance(self._start(not_after=1e9), outcome)
            self.clock.now += 1.0
            self._switch("up")
            self.assertEqual(states(), self._states())

    def test_a_worker_runs_a_repeated_start_twice(self) -> None:
        self._start()
        self._start()
        self.assertEqual([RunState.RUNNING] * 2, self._states())

    def test_leases_expire_on_the_worker_s_own_clock(self) -> None:
        self._start(run_s=1_000.0)
        self.clock.now = 125.0
        self.assertEqual([RunState.RUNNING], self._states())
        self.clock.now = 160.0
        self.assertEqual([RunState.LAPSED], self._states())
