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
def entry(*answers: tuple[int, dict[str, Any]]) -> Iterator[tuple[str, list[str]]]:
    """Serve the answers in order, repeating the last one; log the requests."""
    seen: list[str] = []

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_any(self) -> None:
            self.rfile.read(int(self.headers.get("Content-Length", 0)))
            place = min(len(seen), len(answers) - 1)
            seen.append(f"{self.command} {self.path}")
            status, value = answers[place]
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
        yield f"http://127.0.0.1:{server.server_address[1]}", seen
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

    def test_a_refused_connection_moves_on_to_the_next_entry(self) -> None:
        with entry((200, ACCEPTED)) as (url, seen):
            code = self.run_verb("drain", "izmir", entries=(refusing_entry(), url))
        self.assertEqual(ExitCode.OK, code)
        self.assertEqual(["POST /v1/failure-domains/izmir/drain?revision=0"], seen)
        self.assertIn("revision 7", self.out.getvalue())

    def test_an_answer_that_says_not_accepted_moves_on(self) -> None:
        with entry((503, problem("unavailable"))) as (bad, _):
            with entry((200, ACCEPTED)) as (good, _):
                code = self.run_verb("drain", "izmir", entries=(bad, good))
            self.assertEqual(ExitCode.OK, code)
            code = self.run_verb("drain", "izmir", entries=(bad,))
        self.assertEqual(ExitCode.UNAVAILABLE, code)

    def test_without_an_answer_only_idempotent_calls_are_repeated(self) -> None:
        with (
            unresponsive_entry() as unresponsive,
            entry((200, ACCEPTED)) as (good, seen),
        ):
            both = (unresponsive, good)
            drain = self.run_verb("drain", "izmir", "--timeout=0.3", entries=both)
            self.assertEqual((ExitCode.OUTCOME_UNKNOWN, []), (drain, seen))
            again = ("submit", str(self.record), "--timeout=1")
            self.assertEqual(ExitCode.OK, self.run_verb(*again, entries=both))
        unknown = (504, problem("outcome_unknown"))
        with entry(unknown) as (lost, _), entry((200, ACCEPTED)) as (good, _):
            both = (lost, good)
            submit = self.run_verb("submit", str(self.record), entries=both)
            unsafe = self.run_verb("restore", "izmir", entries=both)
            safe = self.run_verb("restore", "izmir", "--revision=4", entries=both)
        self.assertEqual(
            (ExitCode.OK, ExitCode.OUTCOME_UNKNOWN, ExitCode.OK), (submit, unsafe, safe)
        )
        conflict = (409, problem("conflict"))
        with entry(unknown) as (lost, _), entry(conflict) as (good, _):
            code = self.run_verb("submit", str(self.record), entries=(lost, good))
        self.assertEqual(ExitCode.OUTCOME_UNKNOWN, code)

    def test_a_conflict_has_its_own_code_and_names_the_other_author(self) -> None:
        answer = problem("conflict")
        answer["problems"][0]["detail"] = "written by amina at revision 9"
        with entry((409, answer)) as (url, _):
            code = self.run_verb("submit", str(self.record), entries=(url,))
        self.assertEqual(ExitCode.CONFLICT, code)
        self.assertIn("amina", self.err.getvalue())

    def test_wait_ends_when_in_force_or_when_time_is_up(self) -> None:
        behind = {"revision": 7, "everywhere": False, "missing": ["agent-3"]}
        there = {"revision": 7, "everywhere": True, "missing": []}
        arguments = ("submit", str(self.record), "--wait", "--json")
        with entry((200, ACCEPTED), (200, behind), (200, there)) as (url, _):
            code = self.run_verb(*arguments, entries=(url,))
        self.assertEqual(ExitCode.OK, code)
        self.assertTrue(json.loads(self.out.getvalue())["in_force"])
        with entry((200, ACCEPTED), (200, behind)) as (url, _):
            code = self.run_verb(*arguments, "--timeout=0.2", entries=(url,))
        self.assertEqual(ExitCode.NOT_IN_FORCE, code)
        self.assertIn("agent-3", self.err.getvalue())

    def test_bad_input_is_refused_before_any_call(self) -> None:
        with entry((200, ACCEPTED)) as (url, seen):
            self.assertEqual(ExitCode.BAD_INPUT, self.run_verb("drain", entries=(url,)))
            bad = self.run_verb("drain", "izmir", "--speed=1", entries=(url,))
            self.assertEqual(ExitCode.BAD_INPUT, bad)
            self.record.write_text(json.dumps({**RECORD, "tasks": 0, "colour": 1}))
            bad = self.run_verb("submit", str(self.record), entries=(url,))
            self.assertEqual((ExitCode.BAD_INPUT, []), (bad, seen))
            self.assertIn("tasks", self.err.getvalue())
            self.assertIn("colour", self.err.getvalue())

    def test_check_reports_every_problem_of_every_file(self) -> None:
        toml = self.record.parent / "operator.toml"
        toml.write_text('role = "operator"\nentries = ["http://127.0.0.1:1"]\nx = 1\n')
        code = self.run_verb("check", str(self.record), str(toml), entries=())
        self.assertEqual(ExitCode.BAD_INPUT, code)
        self.assertIn("job.json: good", self.out.getvalue())
        self.assertIn("unknown_key", self.err.getvalue())
