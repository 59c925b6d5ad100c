"""The HTTP client of the operators' verbs.

It tries the entries in order. A call goes to another entry only when the one
before surely did not accept it, or when repeating the call does no harm.
"""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import msgspec
import urllib3

from bulrushpulley.errors import Code, Problem
from bulrushpulley.wire.records import to_plain

STEP = "operators.call"
CONNECT_S = 2.0
LONGEST_TIMEOUT_S = 3_600.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
NOT_ACCEPTED_STATUS = 503
UNKNOWN_STATUS = 504
NOT_ACCEPTED_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A call of an operator; `idempotent` ones may be repeated blindly."""

    method: str
    path: str
    query: Mapping[str, str]
    body: bytes = b""
    idempotent: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """The decoded answer of an entry; problems have the codes of `Code`."""

    entry: str
    status: int
    value: Mapping[str, Any]

    @property
    def problems(self) -> list[Mapping[str, Any]]:
        """The problems that the answer reports."""
        found: list[Mapping[str, Any]] = list(self.value.get("problems", ()))
        return found

    @property
    def codes(self) -> list[str]:
        """The codes of the problems."""
        return [str(problem.get("code", "")) for problem in self.problems]


class OperatorClient:
    """Calls one of several entries within a deadline.

    Example::

        client = OperatorClient(entries=("http://127.0.0.1:7002",), author="amina")
        answer = client.call(Call(method="GET", path="/v1/status", query={}), 10.0)
    """

    def __init__(self, *, entries: tuple[str, ...], author: str) -> None:
        self._entries = entries
        self._author = author
        self._pool = urllib3.PoolManager(retries=False)

    def call(self, call: Call, timeout_s: float) -> Answer:
        """Return the first definite answer, or the last failure of all entries.

        A refusal after a call of unknown outcome settles nothing: that call may
        have taken effect and caused the refusal. Calls that may be repeated leave
        an equal share of the time to each of the entries after.
        """
        deadline = time.monotonic() + timeout_s
        last = _failed("", Code.UNAVAILABLE, "no entry is configured")
        unknown: Answer | None = None
        safe = call.idempotent
        for place, entry in enumerate(self._entries):
            left = deadline - time.monotonic()
            if left <= 0:
                break
            entries_left = len(self._entries) - place
            last = self._try(entry, call, left / entries_left if safe else left)
            if last.status == UNKNOWN_STATUS and not safe:
                return last
            if last.status not in (NOT_ACCEPTED_STATUS, UNKNOWN_STATUS):
                return unknown if unknown is not None and last.codes else last
            if last.status == UNKNOWN_STATUS:
                unknown = last
        return unknown or last

    def _try(self, entry: str, call: Call, left_s: float) -> Answer:
        timeout = urllib3.Timeout(connect=min(CONNECT_S, left_s), total=left_s)
        try:
            response = self._pool.request(
                call.method,
                entry.rstrip("/") + call.path,
                fields=dict(call.query) if not call.body else None,
                body=call.body or None,
                headers=self._headers(left_s),
                timeout=timeout,
                preload_content=True,
            )
        except NOT_ACCEPTED_ERRORS as error:
            return _failed(entry, Code.UNAVAILABLE, str(error))
        except urllib3.exceptions.HTTPError as error:
            return _failed(entry, Code.OUTCOME_UNKNOWN, str(error))
        return _decoded(entry, response.status, response.data)

    def _headers(self, left_s: float) -> Mapping[str, str]:
        return {
            "X-Author": self._author,
            "X-Timeout-S": f"{min(left_s, LONGEST_TIMEOUT_S):.3f}",
            "Content-Type": "application/json",
        }


def _failed(entry: str, code: Code, detail: str) -> Answer:
    status = NOT_ACCEPTED_STATUS if code is Code.UNAVAILABLE else UNKNOWN_STATUS
    problem = Problem(code=code, step=STEP, peer=entry or "self", detail=detail)
    return Answer(entry=entry, status=status, value={"problems": [to_plain(problem)]})


def _decoded(entry: str, status: int, data: bytes) -> Answer:
    try:
        value = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        detail = f"status {status} without a JSON answer: {error}"
        return _failed(entry, Code.OUTCOME_UNKNOWN, detail)
    if not isinstance(value, dict):
        return _failed(entry, Code.OUTCOME_UNKNOWN, f"status {status}: no object")
    answer = Answer(entry=entry, status=status, value=value)
    if status >= 400 and not answer.problems:
        return replace(_failed(entry, Code.OUTCOME_UNKNOWN, str(value)), status=status)
    return answer
