"""Tests of decoding the platform's bodies, also malformed ones."""

from __future__ import annotations

import testtools

from bulrushpulley.entities.jobs.configuration import Evacuation, route
from bulrushpulley.entities.jobs.executor_calls import StartDenied, StartRun
from bulrushpulley.entities.jobs.rows import (
    CancelRow,
    JobState,
    ProgressRow,
    Row,
    TaskProgress,
)
from bulrushpulley.entities.jobs.runs import RunOrder, RunRef
from bulrushpulley.entities.resources import Resources
from bulrushpulley.errors import BulrushpulleyError
from bulrushpulley.platform.executor import decode_announcement, start_outcome
from bulrushpulley.platform.http_client import HttpAnswer
from bulrushpulley.platform.job_bodies import decode_job
from bulrushpulley.platform.order_rows import decode_order
from bulrushpulley.wire.job_rows import decode_row, encode_row

JOB = (
    b'{"Spec":"s","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstimateMs":900},'
    b'{"Count":2,"After":[0],"Checkpointing":true,"Utilization":true,"Image":"i"}]}'
)
CONFIG = (
    b'{"Version":7,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/p/",'
    b'"TimeoutMs":3000,"TargetLatencyMs":400,"Priority":0,"Service":"s",'
    b'"MaxAttempts":2,"LatencyFactor":1.5},{"Name":"q","Host":"a.example",'
    b'"PathPrefix":"/p/long/","Service":"s","MaxAttempts":2,'
    b'"Recommendation":{"DecisionMs":50,"PerItemMs":2,"ValidityMs":4000}}]}'
)
ANNOUNCEMENT = (
    b'{"Service":"s","Addr":"10.0.0.9:80","Zone":"z","State":"draining","Seq":4,'
    b'"Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},"Labels":["a","r1"],'
    b'"RemainingMs":2500,"born":1770570211410}'
)
MALFORMED_JOBS = {
    "not JSON": b"{",
    "not an object": b"[]",
    "no steps": b'{"Spec":"s"}',
    "a step that is not an object": b'{"Steps":[1]}',
    "no tasks": b'{"Steps":[{"Count":0}]}',
    "a dependency on the step itself": b'{"Steps":[{"Count":1,"After":[0]}]}',
    "a negative amount": b'{"Steps":[{"Count":1,"Cpu":-1}]}',
    "text for a number": b'{"Steps":[{"Count":"1"}]}',
    "too many tasks": b'{"Steps":[{"Count":9000}]}',
}


class JobBodyTest(testtools.TestCase):
    def test_a_job_is_decoded_with_the_platforms_defaults(self) -> None:
        spec = decode_job(JOB)
        first, second = spec.steps
        self.assertEqual(
            (4, 500, 0.9), (first.count, first.size.processors_m, first.estimate_s)
        )
        self.assertEqual((0,), second.after)
        self.assertTrue(second.checkpoints and second.fills)
        self.assertEqual(0, second.committed.processors_m)
        self.assertEqual(1, spec.runs)

    def test_malformed_jobs_are_errors(self) -> None:
        for name, body in MALFORMED_JOBS.items():
            with self.subTest(name):
                error = self.assertRaises(BulrushpulleyError, decode_job, body)
                self.assertEqual("job.decode", error.problem.step)


class StartOutcomeTest(testtools.TestCase):
    """A run whose start may have done something must be barred before it is refused."""

    def test_only_some_answers_say_that_nothing_was_done(self) -> None:
        run = RunRef(task_id="t", run=1)
        start = StartRun(
            server_id="i-1",
            address="10.0.0.9:80",
            timeout_s=0.5,
            fencing_token=1,
            order=RunOrder(
                task_id="t", run=1, payload="p", committed=Resources(processors_m=1)
            ),
            lease_until_ms=1,
        )
        for status, certain in ((409, True), (400, True), (421, True), (500, False)):
            answer = HttpAnswer(status=status, body=b'{"Reason":"room"}')
            outcome = start_outcome(start, run, answer)
            assert isinstance(outcome, StartDenied)
            self.assertEqual(certain, outcome.certainly_denied, str(status))


class OrderTest(testtools.TestCase):
    def test_a_configuration_routes_by_the_longest_prefix(self) -> None:
        configuration = decode_order("config", CONFIG)
        found = route(configuration, "A.example:80", "/p/long/5c")  # type: ignore[arg-type]
        assert found is not None
        queue, rest = found
        self.assertEqual(("q", "5c"), (queue.name, rest))
        assert queue.advice is not None
        self.assertEqual(4.0, queue.advice.valid_s)

    def test_an_evacuation_names_its_failure_domain(self) -> None:
        order = decode_order("evacuate/ege-izmir", b"{}")
        self.assertEqual(Evacuation(failure_domain="ege-izmir"), order)

    def test_orders_of_unknown_kinds_are_ignored(self) -> None:
        self.assertIsNone(decode_order("other/1", b"{}"))

    def test_a_wave_without_a_number_is_invalid(self) -> None:
        error = self.assertRaises(BulrushpulleyError, decode_order, "wave/1", b"{}")
        self.assertEqual("MaintenanceWave", error.problem.field)


class AnnouncementTest(testtools.TestCase):
    def test_an_announcement_is_decoded(self) -> None:
        announced = decode_announcement("i-1", ANNOUNCEMENT)
        self.assertTrue(announced.is_draining)
        self.assertEqual(2.5, announced.leaves_in_s)
        self.assertEqual(1770570211410, announced.started_at_ms)

    def test_an_unknown_state_is_an_error(self) -> None:
        body = ANNOUNCEMENT.replace(b"draining", b"dreaming")
        self.assertRaises(BulrushpulleyError, decode_announcement, "i-1", body)


class RowTest(testtools.TestCase):
    def test_rows_are_equal_after_encoding_and_decoding(self) -> None:
        task = TaskProgress(occurrence=0, step=1, index=2, run=3, host="h", life="l")
        rows: tuple[Row, ...] = (
            CancelRow(job_id="j"),
            ProgressRow(job_id="j", state=JobState.RUNNING, tasks=(task,)),
        )
        for row in rows:
            self.assertEqual(row, decode_row(encode_row(row), peer="p"))

    def test_bytes_of_another_writer_are_an_error(self) -> None:
        for data in (b"", b"{}", b"\xc1", b"\x82\xa4kind\xa1x\xa3row\x80"):
            self.assertRaises(BulrushpulleyError, decode_row, data, peer="p")
