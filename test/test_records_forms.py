"""Tests of records against the cases in test-data/records/cases.txt."""

from __future__ import annotations

import operator
import pathlib
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import testtools

from bulrushpulley.entities import operations as ops
from bulrushpulley.entities.records import DomainState, FailureDomainRecord
from bulrushpulley.entities.rows import RecordRow
from bulrushpulley.errors import BulrushpulleyError, Code
from bulrushpulley.wire import operator_http
from bulrushpulley.wire.records import (
    MAX_RECORD_BYTES,
    decode_object,
    parse_record,
)

CASES = pathlib.Path(__file__).parent.parent / "test-data" / "records" / "cases.txt"


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    name: str
    body: bytes
    verdict: str
    lines: tuple[str, ...]


def cases() -> Iterator[Case]:
    text = "\n".join(
        line for line in CASES.read_text().split("\n") if not line.startswith("#")
    )
    for part in text.split("\n== ")[1:]:
        name, _, rest = part.partition("\n")
        body, _, outcome = rest.partition("\n-- ")
        verdict, *lines = [line for line in outcome.split("\n") if line]
        yield Case(name=name, body=body.encode(), verdict=verdict, lines=tuple(lines))


def outcome_of(case: Case) -> set[str]:
    try:
        parsed = parse_record(decode_object(case.body, peer="ops"), peer="ops")
    except (BulrushpulleyError, ExceptionGroup) as error:
        problems = operator_http.problems_of(error)
        assert {(problem.step, problem.peer) for problem in problems} == {
            ("records.check", "ops")
        }
        return {f"{problem.field or '-'} {problem.code.value}" for problem in problems}
    paths = [line.split(" = ")[0] for line in case.lines]
    return {f"{path} = {operator.attrgetter(path)(parsed.record)}" for path in paths}


def problem_code(error: BulrushpulleyError | None) -> Code:
    assert error is not None
    return error.problem.code


class RecordsTest(testtools.TestCase):
    def test_each_case_has_its_expected_outcome(self) -> None:
        count = 0
        for case in cases():
            with self.subTest(case.name):
                self.assertEqual(set(case.lines), outcome_of(case))
                count += 1
        self.assertGreater(count, 10)

    def test_an_oversize_record_is_refused_before_it_is_decoded(self) -> None:
        with self.assertRaises(BulrushpulleyError) as caught:
            decode_object(b"{" * (MAX_RECORD_BYTES + 1), peer="ops")
        self.assertEqual(Code.TOO_LARGE, problem_code(caught.exception))

    def test_deep_nesting_is_bad_input(self) -> None:
        with self.assertRaises(BulrushpulleyError):
            decode_object(b'{"a":' * 20_000, peer="ops")


class OperatorHttpTest(testtools.TestCase):
    def refused(self, method: str, path: str, query: dict[str, str]) -> Code:
        with self.assertRaises(BulrushpulleyError) as caught:
            operator_http.parse(method, path, query, {}, b"{}", "c1")
        return problem_code(caught.exception)

    def test_routes_become_calls(self) -> None:
        call = operator_http.parse(
            "POST",
            "/v1/failure-domains/nbo-a/drain",
            {"revision": "7"},
            {"X-Author": "amina"},
            b"",
            "c1",
        )
        expected = ops.ChangeDomain(
            call_id="c1",
            author="amina",
            failure_domain="nbo-a",
            state=DomainState.DRAINED,
            expected_revision=7,
        )
        self.assertEqual(expected, call)
        ask = operator_http.parse("GET", "/v1/explain/audit/3", {}, {}, b"", "c2")
        self.assertEqual(
            ops.AskExplain(call_id="c2", author="unknown", task_id="audit/3"), ask
        )

    def test_bad_requests_are_refused(self) -> None:
        drain = "/v1/failure-domains/nbo-a/drain"
        self.assertEqual(Code.NOT_FOUND, self.refused("GET", "/v1/nothing", {}))
        self.assertEqual(Code.INVALID, self.refused("POST", drain, {"revision": "x"}))
        self.assertEqual(Code.UNKNOWN_KEY, self.refused("POST", drain, {"x": "1"}))
        self.assertEqual(Code.INVALID, self.refused("GET", "/v1/explain/a/b", {}))

    def test_replies_and_rejections_become_answers(self) -> None:
        record = FailureDomainRecord(name="nbo-a", region="ke-central")
        row = RecordRow(
            kind="failure_domain",
            schema_version=1,
            record=record,
            author="amina",
            revision=4,
        )
        answer = operator_http.render(ops.Accepted(call_id="c", row=row))
        self.assertEqual(200, answer.status)
        body = msgspec.json.decode(answer.body)
        self.assertEqual((4, "in_service"), (body["revision"], body["record"]["state"]))
        problem = operator_http.problems_of(ValueError("x"))[0]
        refusal = operator_http.render(ops.Reject(call_id="c", problem=problem))
        self.assertEqual(400, refusal.status)
