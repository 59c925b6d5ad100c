"""Tests of the HTTP front: bad input, limits, slow callers and separate threads."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

import testtools
import urllib3

from bulrushpulley.entities.calls import (
    AnswerCall,
    CallAbandoned,
    CallReceived,
    RefuseCall,
)
from bulrushpulley.entities.step import Event
from bulrushpulley.errors import Code, Problem, Ran
from bulrushpulley.wire import http_server
from bulrushpulley.wire.caller_http import CallerFront
from bulrushpulley.wire.http_server import Handler, HttpServer
from bulrushpulley.wire.operator_front import HealthFront
from bulrushpulley.wire.pending import PendingCalls

HOST = "127.0.0.1"
CALL = b"POST /v1/call/s HTTP/1.1\r\nHost: h\r\n"
# name, bytes of the request, status, field, part of the detail
RAW_CASES = (
    ("not HTTP", b"hello\r\n\r\n", 400, "", "Malformed"),
    ("body too large", CALL + b"Content-Length: 1048577\r\n\r\n", 413, "", "maximum"),
    (
        "body without a length",
        CALL + b"Transfer-Encoding: chunked\r\n\r\n",
        411,
        "",
        "req",
    ),
    ("negative length", CALL + b"Content-Length: -1\r\n\r\n", 400, "", "negative"),
    ("length is not a number", CALL + b"Content-Length: x\r\n\r\n", 400, "", "Length"),
    ("bad deadline", CALL + b"X-Deadline-Ms: 0\r\n\r\n", 400, "X-Deadline-Ms", "1 to"),
    ("bad flag", CALL + b"X-Repeatable: yes\r\n\r\n", 400, "X-Repeatable", "true"),
    (
        "unrepeatable without key",
        CALL + b"X-Repeatable: false\r\n\r\n",
        400,
        "Idempotency-Key",
        "required",
    ),
    (
        "bad service",
        b"POST /v1/call/%20 HTTP/1.1\r\nHost: h\r\n\r\n",
        400,
        "service",
        "name",
    ),
    (
        "wrong method",
        b"GET /v1/call/s HTTP/1.1\r\nHost: h\r\n\r\n",
        400,
        "method",
        "POST",
    ),
    ("no such path", b"POST /v2 HTTP/1.1\r\nHost: h\r\n\r\n", 404, "path", "path"),
    ("header too long", CALL + b"X-A: " + b"a" * 20_000 + b"\r\n\r\n", 413, "", ""),
)


class HttpFrontTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pending = PendingCalls(incarnation="e/1")
        self.received: list[Event] = []
        self.answer: Callable[[CallReceived], Any] = lambda event: None

    def tell(self, event: Event) -> None:
        self.received.append(event)
        command = self.answer(event) if isinstance(event, CallReceived) else None
        if command is not None:
            self.pending.resolve(command.call_id, command)

    def serve(self, handler: Handler, threads: int = 4) -> HttpServer:
        server = HttpServer(
            host=HOST,
            port=0,
            handler=handler,
            threads=threads,
            report=lambda problem: None,
        )
        server.start()
        self.addCleanup(server.stop, 0.2)
        return server

    def serve_callers(self, threads: int = 4) -> HttpServer:
        front = CallerFront(pending=self.pending, tell=self.tell)
        return self.serve(front.handle, threads)

    def exchange(self, port: int, data: bytes) -> tuple[int, dict[str, str]]:
        """Send raw bytes and return the status and the JSON body of the answer."""
        with socket.create_connection((HOST, port), timeout=5.0) as sock:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            head, _, body = sock.makefile("rb").read().partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]), json.loads(body)

    def test_bad_input_gets_an_error_and_sends_the_router_nothing(self) -> None:
        port = self.serve_callers().port
        for name, data, status, field, detail in RAW_CASES:
            with self.subTest(name):
                found, problem = self.exchange(port, data)
                self.assertEqual((status, field), (found, problem["field"]))
                self.assertIn(detail, problem["detail"])
                self.assertEqual("no", problem["ran"])
                self.assertIn(HOST, problem["peer"])
        self.assertEqual([], self.received)

    def test_an_answer_goes_to_its_own_call(self) -> None:
        self.answer = lambda event: AnswerCall(
            call_id=event.call_id, status=200, body=event.body * 2
        )
        url = f"http://{HOST}:{self.serve_callers().port}/v1/call/s"
        for body in (b"", b"a", b"\x00" * 1_048_576):
            reply = urllib3.request("POST", url, body=body, retries=False)
            self.assertEqual(200, reply.status)
            self.assertTrue(reply.data == body * 2)
            self.assertEqual("yes", reply.headers["X-Ran"])

    def test_a_refusal_states_whether_the_request_ran(self) -> None:
        cases = ((Code.OVERLOADED, Ran.NO, 503), (Code.OVERLOADED, Ran.UNKNOWN, 504))
        url = f"http://{HOST}:{self.serve_callers().port}/v1/call/s"
        for code, ran, status in cases:
            problem = Problem(code=code, step="s", peer="p", detail="d")
            self.answer = lambda event, ran=ran, problem=problem: RefuseCall(  # type: ignore[misc]
                call_id=event.call_id, ran=ran, problem=problem
            )
            reply = urllib3.request("POST", url, retries=False)
            self.assertEqual((status, ran.value), (reply.status, reply.json()["ran"]))
            self.assertEqual(ran.value, reply.headers["X-Ran"])

    def test_a_call_without_an_answer_ends_at_its_deadline(self) -> None:
        url = f"http://{HOST}:{self.serve_callers().port}/v1/call/s"
        reply = urllib3.request(
            "POST", url, headers={"X-Deadline-Ms": "50"}, retries=False
        )
        self.assertEqual((504, "unknown"), (reply.status, reply.json()["ran"]))
        self.assertEqual(CallAbandoned, type(self.received[-1]))

    def test_a_slowly_sent_request_times_out(self) -> None:
        self.patch(http_server, "REQUEST_READ_TIMEOUT_S", 0.4)
        port = self.serve_callers(threads=1).port
        with socket.create_connection((HOST, port), timeout=5.0) as sock:
            started_at = time.monotonic()
            status = b""
            sock.settimeout(0.1)
            while not status and time.monotonic() - started_at < 4.0:
                sock.sendall(b"P")
                try:
                    status = sock.recv(12)
                except TimeoutError:
                    status = b""
        self.assertEqual(b"HTTP/1.1 408", status)
        self.assertTrue(time.monotonic() - started_at < 2.0)

    def send(self, port: int, data: bytes) -> socket.socket:
        """Open a connection, send a request on it and leave it open."""
        sock = socket.create_connection((HOST, port))
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock

    def wait_until_received(self) -> None:
        """Wait until a thread of the server handles a call."""
        pause = threading.Event()
        deadline = time.monotonic() + 5.0
        while not self.received and time.monotonic() < deadline:
            pause.wait(0.01)

    def test_operators_are_served_while_callers_use_all_threads(self) -> None:
        callers = self.serve_callers(threads=1)
        health = HealthFront(is_leaving=lambda: False, metrics_text=lambda: "a 1\n")
        operators = self.serve(health.handle, threads=1)
        data = CALL + b"X-Deadline-Ms: 2000\r\n\r\n"
        connections = [self.send(callers.port, data)]
        self.wait_until_received()
        connections += [self.send(callers.port, data) for _ in range(5)]
        threading.Event().wait(0.2)
        started_at = time.monotonic()
        url = f"http://{HOST}:{operators.port}"
        self.assertEqual(200, urllib3.request("GET", url + "/healthz").status)
        self.assertEqual(b"a 1\n", urllib3.request("GET", url + "/metrics").data)
        self.assertTrue(time.monotonic() - started_at < 0.5)
        # Of the six calls, one is handled, two are queued and three are refused.
        answers = [sock.recv(12) for sock in connections]
        self.assertEqual(3, answers.count(b"HTTP/1.1 503"), str(answers))
