"""HTTP requests and replies as values, and the JSON form of errors.

The handlers of callers' and operators' calls are functions from `HttpRequest` to
`HttpReply`; the server that runs them is in `http_server`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from bulrushpulley.errors import BulrushpulleyError, Code, Problem, Ran

JSON = "application/json"

STATUS_BY_CODE: Mapping[Code, int] = {
    Code.INVALID: 400,
    Code.UNKNOWN_KEY: 400,
    Code.UNKNOWN_KIND: 400,
    Code.SCHEMA_VERSION: 400,
    Code.TOO_LARGE: 413,
    Code.NOT_FOUND: 404,
    Code.CONFLICT: 409,
    Code.NOT_RUN: 503,
    Code.OUTCOME_UNKNOWN: 504,
    Code.OVERLOADED: 503,
    Code.DEADLINE: 504,
    Code.UNAVAILABLE: 503,
    Code.LEAVING: 503,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """A complete request; header names are in lower case, `peer` is an address."""

    method: str
    path: str
    query: str
    header_by_name: Mapping[str, str]
    body: bytes
    peer: str

    @property
    def path_segments(self) -> tuple[str, ...]:
        """The segments of the path."""
        return tuple(self.path.strip("/").split("/"))


@dataclass(frozen=True, kw_only=True, slots=True)
class HttpReply:
    """A complete reply.

    `ran` is sent as the header `X-Ran`, so that a caller can tell a backend server's
    own status from a refusal with the same one. `retry_after_s` is sent as
    `Retry-After`, in whole seconds rounded up.
    """

    status: int
    body: bytes
    content_type: str = JSON
    ran: Ran | None = None
    retry_after_s: float | None = None


def json_reply(status: int, value: Any, ran: Ran | None = None) -> HttpReply:
    """Encode a value as a JSON reply."""
    return HttpReply(status=status, body=msgspec.json.encode(value), ran=ran)


def problem_value(problem: Problem, ran: Ran | None = None) -> dict[str, str]:
    """Return the JSON form of a problem; `ran` is given for callers' requests."""
    value = {
        "code": problem.code.value,
        "step": problem.step,
        "peer": problem.peer,
        "field": problem.field,
        "detail": problem.detail,
    }
    return value if ran is None else {**value, "ran": ran.value}


def error_reply(error: BaseException, ran: Ran | None = None) -> HttpReply:
    """Return the reply to a call whose handling raised `error`.

    For a group of errors, the reply describes the first one and lists all of them
    as ``errors``.
    """
    problems = problems_in(error)
    value = problem_value(problems[0], ran)
    if len(problems) == 1:
        return json_reply(STATUS_BY_CODE[problems[0].code], value, ran)
    errors = [problem_value(problem) for problem in problems]
    status = STATUS_BY_CODE[problems[0].code]
    return json_reply(status, {**value, "errors": errors}, ran)


def problems_in(error: BaseException) -> tuple[Problem, ...]:
    """Return the problems that an error or a group of errors carries.

    An error without a problem gives one with the code `UNAVAILABLE`.
    """
    if isinstance(error, BaseExceptionGroup):
        return tuple(found for part in error.exceptions for found in problems_in(part))
    problem = getattr(error, "problem", None)
    if problem is not None:
        return (problem,)
    detail = f"{type(error).__name__}: {error}"
    return (
        Problem(code=Code.UNAVAILABLE, step="http.handle", peer="self", detail=detail),
    )


def request_error(
    *, step: str, peer: str, field: str, detail: str, code: Code = Code.INVALID
) -> BulrushpulleyError:
    """Return the error of a malformed request."""
    return BulrushpulleyError(
        problem=Problem(code=code, step=step, peer=peer, field=field, detail=detail)
    )
