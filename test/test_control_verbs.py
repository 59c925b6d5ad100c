"""Tests of the operators' verbs with entries that refuse, fail or do not answer."""

from __future__ import annotations

import contextlib
import http.server
import io
import json
import pathlib
import socket
import tempfile
import threading
from collections.abc import Iterator
from typing import Any

import testtools

from bulrushpulley import verbs
from bulrushpulley.exit_codes import ExitCode

RECORD = {
    "kind": "job",
    "schema_version": 2,
    "name": "bread",
    "department": "bakery",
    "tasks": 2,
    "size": {"processors_m": 100, "memory_mb": 64},
    "run_s": 1,
}
ACCEPTED = {"accepted": True, "kind": "job", "name": "bread", "revision": 7}


def problem(code: str) -> dict[str, Any]:
    return {"problems": [{"code": code, "step": "s", "peer": "p", "detail": "d"}]}


@contextlib.contextmanager
def serve_entry(
    *answers: tuple[int, dict[str, Any]],
) -> Iterator[tuple[str, list[str]]]:
    """Serve the answers in order, repeating the last one; log the requests."""
    requests: list[str] = []

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_any(self) -> None:
            self.rfile.read(int(self.headers.get("Content-Length", 0)))
            index = min(len(requests), len(answers) - 1)
            requests.append(f"{self.command} {self.path}")
            status, value = answers[index]
            body = json.dumps(value).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        do_GET = do_POST = do_PUT = do_any  # noqa: N815

        def log_message(self, *arguments: Any) -> None:
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True)
    thread.start()
    try:
        yield f"http://127.0.0.1:{server.server_address[1]}", requests
    finally:
        server.shutdown()
        server.server_close()
        thread.join()


@contextlib.contextmanager
def unresponsive_entry() -> Iterator[str]:
    """Accept connections and never answer."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield f"http://127.0.0.1:{server.getsockname()[1]}"


def refusing_entry() -> str:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"http://127.0.0.1:{server.getsockname()[1]}"


class VerbsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.record = pathlib.Path(folder.name) / "job.json"
        self.record.write_text(json.dumps(RECORD))

    def run_verb(self, *argv: str, entries: tuple[str, ...]) -> int:
        self.out, self.err = io.StringIO(), io.StringIO()
        arguments = [*argv, *(f"--entry={url}" for url in entries)]
        with contextlib.redirect_stdout(self.out), contextlib.redirect_stderr(self.err):
            return verbs.run(arguments)

    def test_after_a_refused_connection_the_next_entry_is_called(self) -> None:
        with serve_entry((200, ACCEPTED)) as (url, requests):
            code = self.run_verb("drain", "izmir", entries=(refusing_entry(), url))
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual(["POST /v1/failure-domains/izmir/drain?revision=0"], requests)
        self.assertIn("revision 7", self.out.getvalue())

    def test_after_an_unavailable_entry_the_next_one_is_called(self) -> None:
        with serve_entry((503, problem("unavailable"))) as (failing_url, _):
            with serve_entry((200, ACCEPTED)) as (accepting_url, _):
                code = self.run_verb(
                    "drain", "izmir", entries=(failing_url, accepting_url)
                )
            self.assertEqual(ExitCode.OK, code)
            code = self.run_verb("drain", "izmir", entries=(failing_url,))
        self.assertEqual(ExitCode.UNAVAILABLE, code)

    def test_without_an_answer_only_idempotent_calls_are_repeated(self) -> None:
        with (
            unresponsive_entry() as unresponsive,
            serve_entry((200, ACCEPTED)) as (accepting_url, requests),
        ):
            urls = (unresponsive, accepting_url)
            drain = self.run_verb("drain", "izmir", "--timeout=0.3", entries=urls)
            self.assertEqual((ExitCode.OUTCOME_UNKNOWN, []), (drain, requests))
            submit_arguments = ("submit", str(self.record), "--timeout=1")
            self.assertEqual(
                ExitCode.OK, self.run_verb(*submit_arguments, entries=urls)
            )
        unknown = (504, problem("outcome_unknown"))
        with (
            serve_entry(unknown) as (unknown_url, _),
            serve_entry((200, ACCEPTED)) as (accepting_url, _),
        ):
            urls = (unknown_url, accepting_url)
            submit = self.run_verb("submit", str(self.record), entries=urls)
            restore_without_revision = self.run_verb("restore", "izmir", entries=urls)
            restore_with_revision = self.run_verb(
                "restore", "izmir", "--revision=4", entries=urls
            )
        self.assertEqual(
            (ExitCode.OK, ExitCode.OUTCOME_UNKNOWN, ExitCode.OK),
            (submit, restore_without_revision, restore_with_revision),
        )
        conflict = (409, problem("conflict"))
        with (
            serve_entry(unknown) as (unknown_url, _),
            serve_entry(conflict) as (conflict_url, _),
        ):
            code = self.run_verb(
                "submit", str(self.record), entries=(unknown_url, conflict_url)
            )
        self.assertEqual(ExitCode.OUTCOME_UNKNOWN, code)

    def test_a_conflict_has_its_own_code_and_names_the_other_author(self) -> None:
        answer = problem("conflict")
        answer["problems"][0]["detail"] = "written by amina at revision 9"
        with serve_entry((409, answer)) as (url, _):
            code = self.run_verb("submit", str(self.record), entries=(url,))
        self.assertEqual(ExitCode.CONFLICT, code)
        self.assertIn("amina", self.err.getvalue())

    def test_wait_ends_when_in_force_or_at_the_timeout(self) -> None:
        not_in_force = {"revision": 7, "everywhere": False, "missing": ["agent-3"]}
        in_force = {"revision": 7, "everywhere": True, "missing": []}
        arguments = ("submit", str(self.record), "--wait", "--json")
        with serve_entry((200, ACCEPTED), (200, not_in_force), (200, in_force)) as (
            url,
            _,
        ):
            code = self.run_verb(*arguments, entries=(url,))
        self.assertEqual(ExitCode.OK, code)
        self.assertTrue(json.loads(self.out.getvalue())["in_force"])
        with serve_entry((200, ACCEPTED), (200, not_in_force)) as (url, _):
            code = self.run_verb(*arguments, "--timeout=0.2", entries=(url,))
        self.assertEqual(ExitCode.NOT_IN_FORCE, code)
        self.assertIn("agent-3", self.err.getvalue())

    def test_bad_input_is_refused_before_any_call(self) -> None:
        with serve_entry((200, ACCEPTED)) as (url, requests):
            self.assertEqual(ExitCode.BAD_INPUT, self.run_verb("drain", entries=(url,)))
            code = self.run_verb("drain", "izmir", "--speed=1", entries=(url,))
            self.assertEqual(ExitCode.BAD_INPUT, code)
            self.record.write_text(json.dumps({**RECORD, "tasks": 0, "colour": 1}))
            code = self.run_verb("submit", str(self.record), entries=(url,))
            self.assertEqual((ExitCode.BAD_INPUT, []), (code, requests))
            self.assertIn("tasks", self.err.getvalue())
            self.assertIn("colour", self.err.getvalue())

    def test_check_reports_every_problem_of_every_file(self) -> None:
        toml = self.record.parent / "operator.toml"
        toml.write_text('role = "operator"\nentries = ["http://127.0.0.1:1"]\nx = 1\n')
        code = self.run_verb("check", str(self.record), str(toml), entries=())
        self.assertEqual(ExitCode.BAD_INPUT, code)
        self.assertIn("job.json: good", self.out.getvalue())
        self.assertIn("unknown_key", self.err.getvalue())
