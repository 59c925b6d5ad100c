"""Tests of the settings: the samples load, and all errors are reported together."""

from __future__ import annotations

import pathlib
import tempfile

import testtools

from bulrushpulley.settings import AgentSettings, EntrySettings, load, load_any
from bulrushpulley.wire.http_message import problems_in

ROOT = pathlib.Path(__file__).resolve().parent.parent
BAD_ENTRY = """
role = "agent"
name = "entry 1"
region = "ege"
failure_domain = 7
colour = "red"
[links]
host = "example.org"
port = 70000
[callers]
host = "127.0.0.1"
port = 7002
threads = 0
[operators]
host = "127.0.0.1"
port = true
[table_service]
url = "ftp://store"
[stop]
notice_s = nan
"""
BAD_FIELDS = {
    "role",
    "name",
    "failure_domain",
    "colour",
    "links.host",
    "links.port",
    "callers.threads",
    "operators.port",
    "table_service.url",
    "stop.notice_s",
}


class SettingsTest(testtools.TestCase):
    def write(self, text: str) -> pathlib.Path:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "settings.toml"
        path.write_text(text)
        return path

    def test_every_sample_is_valid(self) -> None:
        samples = sorted((ROOT / "config").rglob("*.toml"))
        self.assertEqual(26, len(samples))
        for path in samples:
            load_any(path)

    def test_every_error_of_a_file_is_reported_with_its_key(self) -> None:
        path = self.write(BAD_ENTRY)
        errors = self.assertRaises(ExceptionGroup, load, EntrySettings, path)
        problems = problems_in(errors)
        self.assertEqual(BAD_FIELDS, {problem.field for problem in problems})
        self.assertEqual({str(path)}, {problem.peer for problem in problems})
        self.assertEqual({"settings.check"}, {problem.step for problem in problems})

    def test_a_broken_or_missing_file_is_named(self) -> None:
        for path in (self.write("role = "), pathlib.Path("/nonexistent.toml")):
            errors = self.assertRaises(ExceptionGroup, load, AgentSettings, path)
            self.assertEqual([str(path)], [p.peer for p in problems_in(errors)])

    def test_an_unknown_role_is_refused(self) -> None:
        path = self.write('role = "gardener"')
        errors = self.assertRaises(ExceptionGroup, load_any, path)
        self.assertEqual(["role"], [p.field for p in problems_in(errors)])
