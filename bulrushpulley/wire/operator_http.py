"""Parses operators' HTTP requests into calls and renders replies as answers.

This module only encodes and decodes; the controller makes the decisions.

Example::

    call = parse("GET", "/v1/status", {}, {}, b"", "call-1")
    answer = render(reply)
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import singledispatch
from typing import Any

import msgspec

from bulrushpulley.entities import operations as ops
from bulrushpulley.entities.records import DomainState
from bulrushpulley.entities.status import Explanation, Status
from bulrushpulley.entities.step import Command
from bulrushpulley.errors import BulrushpulleyError, Code, Problem
from bulrushpulley.wire.records import (
    ParsedRecord,
    decode_object,
    parse_record,
    to_plain,
)
from bulrushpulley.wire.validation import ValueLocation

STEP = "operators.parse"
AUTHOR_HEADER = "x-author"
TIMEOUT_HEADER = "x-timeout-s"
SECONDS_PATTERN = r"[0-9]{1,4}(\.[0-9]{1,6})?"
MAX_AUTHOR_CHARACTERS = 200
MAX_NUMBER_DIGITS = 18

OPERATOR_STATUS_BY_CODE: Mapping[Code, int] = {
    Code.INVALID: 400,
    Code.UNKNOWN_KEY: 400,
    Code.UNKNOWN_KIND: 400,
    Code.SCHEMA_VERSION: 400,
    Code.TOO_LARGE: 413,
    Code.NOT_FOUND: 404,
    Code.CONFLICT: 409,
    Code.OUTCOME_UNKNOWN: 504,
    Code.DEADLINE: 504,
}
UNAVAILABLE_STATUS = 503
MAX_IN_FORCE_WAIT_S = 10.0
MAX_OPERATOR_CALL_TIMEOUT_S = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpAnswer:
    """The status and JSON body of an answer."""

    status: int
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutedRequest:
    """A request whose path matched a route, with the variables in the path."""

    path_variables: tuple[str, ...]
    query: Mapping[str, str]
    body: bytes
    call_id: str
    author: str


Parser = Callable[[RoutedRequest], ops.OperatorCall]


def parse(
    method: str,
    path: str,
    query: Mapping[str, str],
    headers: Mapping[str, str],
    body: bytes,
    call_id: str,
) -> ops.OperatorCall:
    """Parse a request into a call.

    Raises `BulrushpulleyError`, or an `ExceptionGroup` of them, for bad input.
    """
    header_by_name = {name.lower(): value for name, value in headers.items()}
    author = _author(header_by_name)
    timeout_s = _timeout_s(header_by_name)
    for route in ROUTES:
        matched = re.fullmatch(route.pattern, path)
        if route.method == method and matched is not None:
            request = RoutedRequest(
                path_variables=matched.groups(),
                query=query,
                body=body,
                call_id=call_id,
                author=author,
            )
            return replace(route.parser(request), within_s=timeout_s)
    raise _request_error(f"no operation {method} {path[:200]}", Code.NOT_FOUND)


@singledispatch
def problems_of(error: BaseException) -> tuple[Problem, ...]:
    """Return the problems that an error or a group of errors carries.

    An error without a problem gives one with the code `INVALID`.
    """
    problem = Problem(code=Code.INVALID, step=STEP, peer="self", detail=repr(error))
    return (problem,)


@problems_of.register
def _(error: BulrushpulleyError) -> tuple[Problem, ...]:
    return (error.problem,)


@problems_of.register
def _(error: BaseExceptionGroup) -> tuple[Problem, ...]:
    return tuple(item for one in error.exceptions for item in problems_of(one))


def render_problems(problems: tuple[Problem, ...]) -> HttpAnswer:
    """Return the answer that reports problems; the first determines its status."""
    status = OPERATOR_STATUS_BY_CODE.get(problems[0].code, UNAVAILABLE_STATUS)
    return _answer(status, {"problems": to_plain(problems)})


@singledispatch
def render(command: Command) -> HttpAnswer:
    """Return the answer that carries a `Reply` or `Reject`."""
    raise NotImplementedError(f"no rendering for {type(command).__name__}")


@render.register
def _(command: ops.Accepted) -> HttpAnswer:
    row = command.row
    return _answer(
        200,
        {
            "accepted": True,
            "kind": row.kind,
            "name": row.record.name,
            "schema_version": row.schema_version,
            "author": row.author,
            "revision": row.revision,
            "record": to_plain(row.record),
        },
    )


@render.register(ops.InForce)
@render.register(Status)
@render.register(Explanation)
def _(command: ops.Reply) -> HttpAnswer:
    plain = to_plain(command)
    del plain["call_id"]
    return _answer(200, plain)


@render.register
def _(command: ops.Reject) -> HttpAnswer:
    return render_problems((command.problem,))


def _answer(status: int, value: Any) -> HttpAnswer:
    return HttpAnswer(status=status, body=msgspec.json.encode(value))


def _request_error(
    detail: str, code: Code = Code.INVALID, field: str = ""
) -> BulrushpulleyError:
    location = ValueLocation(step=STEP, peer="operator", field=field)
    return BulrushpulleyError(problem=location.problem(detail, code))


def _timeout_s(header_by_name: Mapping[str, str]) -> float:
    text = header_by_name.get(TIMEOUT_HEADER)
    if text is None:
        return MAX_OPERATOR_CALL_TIMEOUT_S
    if re.fullmatch(SECONDS_PATTERN, text) is None:
        raise _request_error("must be a number of seconds", field=TIMEOUT_HEADER)
    return min(float(text), MAX_OPERATOR_CALL_TIMEOUT_S)


def _author(header_by_name: Mapping[str, str]) -> str:
    author = header_by_name.get(AUTHOR_HEADER, "unknown")
    if len(author) > MAX_AUTHOR_CHARACTERS or not author.isprintable():
        raise _request_error("must be short and printable", field=AUTHOR_HEADER)
    return author


def _number(text: str, field: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
        raise _request_error("must be a whole number", field=field)
    return int(text)


def _expected_revision(query: Mapping[str, str]) -> int:
    unknown = [key for key in query if key != "revision"]
    if unknown:
        raise _request_error("unknown query key", Code.UNKNOWN_KEY, unknown[0])
    return _number(query.get("revision", "0"), "revision")


def _parse_body_record(request: RoutedRequest) -> ParsedRecord:
    raw = decode_object(request.body, peer=request.author)
    return parse_record(raw, peer=request.author)


def _submit(request: RoutedRequest) -> ops.OperatorCall:
    parsed = _parse_body_record(request)
    return ops.SubmitRecord(
        call_id=request.call_id,
        author=parsed.author or request.author,
        kind=parsed.kind,
        schema_version=parsed.schema_version,
        record=parsed.record,
    )


def _amend(request: RoutedRequest) -> ops.OperatorCall:
    parsed = _parse_body_record(request)
    kind, name = request.path_variables
    if (parsed.kind, parsed.record.name) != (kind, name):
        raise _request_error(
            f"the record is not {kind}/{name} as the path says", field="name"
        )
    return ops.AmendRecord(
        call_id=request.call_id,
        author=parsed.author or request.author,
        kind=parsed.kind,
        schema_version=parsed.schema_version,
        record=parsed.record,
        expected_revision=_expected_revision(request.query),
    )


def _cancel(request: RoutedRequest) -> ops.OperatorCall:
    return ops.CancelJob(
        call_id=request.call_id, author=request.author, job=request.path_variables[0]
    )


def _change_domain(state: DomainState) -> Parser:
    def parser(request: RoutedRequest) -> ops.OperatorCall:
        return ops.ChangeDomain(
            call_id=request.call_id,
            author=request.author,
            failure_domain=request.path_variables[0],
            state=state,
            expected_revision=_expected_revision(request.query),
        )

    return parser


def _status(request: RoutedRequest) -> ops.OperatorCall:
    unknown = [key for key in request.query if key != "job"]
    if unknown:
        raise _request_error("unknown query key", Code.UNKNOWN_KEY, unknown[0])
    return ops.AskStatus(
        call_id=request.call_id,
        author=request.author,
        job=request.query.get("job", ""),
    )


def _explain(request: RoutedRequest) -> ops.OperatorCall:
    job, index = request.path_variables
    return ops.AskExplain(
        call_id=request.call_id,
        author=request.author,
        task_id=f"{job}/{_number(index, 'index')}",
    )


def _in_force(request: RoutedRequest) -> ops.OperatorCall:
    return ops.AskInForce(
        call_id=request.call_id,
        author=request.author,
        revision=_number(request.path_variables[0], "revision"),
        wait_s=_wait_s(request.query),
    )


def _wait_s(query: Mapping[str, str]) -> float:
    unknown = [key for key in query if key != "wait_s"]
    if unknown:
        raise _request_error("unknown query key", Code.UNKNOWN_KEY, unknown[0])
    text = query.get("wait_s", "0")
    if re.fullmatch(SECONDS_PATTERN, text) is None:
        raise _request_error("must be a number of seconds", field="wait_s")
    return min(float(text), MAX_IN_FORCE_WAIT_S)


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """A method and path pattern, and the parser of the requests that match."""

    method: str
    pattern: str
    parser: Parser


NAME_PATTERN = "([^/]{1,63})"
ROUTES: tuple[Route, ...] = (
    Route(method="POST", pattern="/v1/records", parser=_submit),
    Route(
        method="PUT",
        pattern=f"/v1/records/{NAME_PATTERN}/{NAME_PATTERN}",
        parser=_amend,
    ),
    Route(method="POST", pattern=f"/v1/jobs/{NAME_PATTERN}/cancel", parser=_cancel),
    Route(
        method="POST",
        pattern=f"/v1/failure-domains/{NAME_PATTERN}/drain",
        parser=_change_domain(DomainState.DRAINED),
    ),
    Route(
        method="POST",
        pattern=f"/v1/failure-domains/{NAME_PATTERN}/restore",
        parser=_change_domain(DomainState.IN_SERVICE),
    ),
    Route(method="GET", pattern="/v1/status", parser=_status),
    Route(
        method="GET",
        pattern=f"/v1/explain/{NAME_PATTERN}/{NAME_PATTERN}",
        parser=_explain,
    ),
    Route(method="GET", pattern="/v1/in-force/([0-9]{1,18})", parser=_in_force),
)
