"""Tests the backend server's client and the stand-ins of servers and callers.

The client must tell requests that were certainly not sent from those that may have
run.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from functools import partial
from unittest import mock

import testtools

from bulrushpulley.entities.execution import (
    BackendAnswered,
    BackendFailed,
    RunOnBackend,
)
from bulrushpulley.platform.backend_server import BackendServerClient
from standins.backend_server import BackendServer
from standins.caller import Caller, Target, make_calls
from standins.caller_core import Outcome, outcome_of, plan, tally
from standins.web import make_server

COMMAND = RunOnBackend(execution_id="x1", request_id="", within_s=2.0, body=b"dough")
COMPLETE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
CASES = (
    ("complete", COMPLETE_ANSWER, BackendAnswered),
    ("cut in the body", COMPLETE_ANSWER[:-2], BackendFailed),
    ("cut in the head", COMPLETE_ANSWER[:20], BackendFailed),
    ("no answer", b"", BackendFailed),
    (
        "too large",
        COMPLETE_ANSWER.replace(b": 4", b": 2000000") + b"x" * 1999996,
        BackendFailed,
    ),
    ("5xx ran", COMPLETE_ANSWER.replace(b"200 OK", b"500 No"), BackendAnswered),
)


@contextmanager
def serve_once(answer: bytes) -> Iterator[str]:
    """Serve one connection: read the request, send `answer` and close."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def serve() -> None:
            connection, _ = listener.accept()
            with connection:
                received = b""
                while not received.endswith(COMMAND.body):
                    received += connection.recv(65536)
                connection.sendall(answer)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield f"http://127.0.0.1:{listener.getsockname()[1]}"
        thread.join(5.0)


def run(url: str, within_s: float = 2.0) -> BackendAnswered | BackendFailed:
    return BackendServerClient(url=url).run(replace(COMMAND, within_s=within_s))


class BackendServerTest(testtools.TestCase):
    def test_only_complete_answers_are_accepted(self) -> None:
        for name, answer, kind in CASES:
            with serve_once(answer) as url:
                result = run(url)
            self.assertIs(kind, type(result), name)
            if isinstance(result, BackendFailed):
                self.assertTrue(result.sent, name)

    def test_without_the_length_check_a_truncated_answer_looks_complete(self) -> None:
        with serve_once(COMPLETE_ANSWER[:-2]) as url:
            client = BackendServerClient(url=url)
            request = partial(client._pool.request, enforce_content_length=False)
            with mock.patch.object(client._pool, "request", request):
                result = client.run(COMMAND)
        self.assertIs(BackendAnswered, type(result))

    def test_a_refused_connection_counts_as_not_sent(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        result = run(f"http://127.0.0.1:{port}")
        assert isinstance(result, BackendFailed)
        self.assertFalse(result.sent)

    def test_a_silent_server_may_have_run_and_the_call_ends_at_its_deadline(
        self,
    ) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
            result = run(f"http://127.0.0.1:{port}", within_s=0.1)
        assert isinstance(result, BackendFailed)
        self.assertTrue(result.sent)

    def test_the_stand_in_answers_calls_and_health_checks(self) -> None:
        server = make_server(handle=BackendServer(mean_s=0.005).handle, port=0)
        thread = threading.Thread(target=server.serve, daemon=True)
        thread.start()
        url = f"http://127.0.0.1:{server.bind_addr[1]}"
        try:
            result = run(url)
            assert isinstance(result, BackendAnswered)
            self.assertEqual(b"x1\ndough", result.body)
            self.assertTrue(BackendServerClient(url=url).check().healthy)
        finally:
            server.stop()


class CallerTest(testtools.TestCase):
    def test_equal_seeds_give_equal_plans_and_unreachable_entries_unknown_outcomes(
        self,
    ) -> None:
        calls = plan(
            rate=50, seconds=0.2, repeatable_fraction=0.5, seed=3, id_prefix="t"
        )
        repeated = plan(
            rate=50, seconds=0.2, repeatable_fraction=0.5, seed=3, id_prefix="t"
        )
        self.assertEqual(calls, repeated)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        target = Target(
            entries=(f"http://127.0.0.1:{port}",),
            service="s",
            within_s=0.1,
            max_attempts=2,
            body_bytes=10,
        )
        report = tally(make_calls(Caller(target=target), calls, 8), {"t-0": 2})
        self.assertEqual(len(calls), report.unknown)
        self.assertEqual(len(calls) - 1, report.lost)

    def test_an_answer_is_classified_by_status_and_body(self) -> None:
        call = plan(rate=9, seconds=9, repeatable_fraction=0, seed=1, id_prefix="t")[0]
        for status, body, expected in (
            (200, b"t-0\nsent", Outcome.SERVED),
            (200, b"t-1\nsent", Outcome.WRONG),
            (200, b"t-0\nse", Outcome.WRONG),
            (503, b'{"ran":"no"}', Outcome.REFUSED),
            (504, b'{"ran":"unknown"}', Outcome.UNKNOWN),
            (400, b'{"ran":"no"}', Outcome.INVALID),
            (500, b"oops", Outcome.UNKNOWN),
        ):
            self.assertEqual(expected, outcome_of(status, body, call, b"sent"))
