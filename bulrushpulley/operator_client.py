"""The HTTP client of the operators' verbs.

Entries are tried in order. A call is sent to the next entry only if the previous one
certainly did not accept it, or if the call can be repeated safely.
"""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import msgspec
import urllib3

from bulrushpulley.errors import Code, Problem
from bulrushpulley.wire.decoding import DECODING_ERRORS
from bulrushpulley.wire.records import to_plain

STEP = "operators.call"
CONNECT_TIMEOUT_S = 2.0
MAX_TIMEOUT_S = 3_600.0
MAX_OPERATOR_ANSWER_BYTES = 64 * 1024 * 1024
NOT_ACCEPTED_STATUS = 503
OUTCOME_UNKNOWN_STATUS = 504
NOT_ACCEPTED_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """A call of an operator; `repeatable` if it can always be repeated safely."""

    method: str
    path: str
    query: Mapping[str, str]
    body: bytes = b""
    repeatable: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """The decoded answer of an entry; its problems have the codes of `Code`."""

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
        """Return the first definite answer of an entry.

        Without one, return the last unknown outcome, or else the last failure.
        A call that is not repeatable ends at its first unknown outcome. A refusal
        after a call of unknown outcome is not definite, since that call may have
        taken effect and caused the refusal; the unknown outcome is returned then.
        A repeatable call leaves each of the later entries an equal share of the time.
        """
        deadline = time.monotonic() + timeout_s
        last = _failure_answer("", Code.UNAVAILABLE, "no entry is configured")
        last_unknown: Answer | None = None
        repeatable = call.repeatable
        for index, entry in enumerate(self._entries):
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                break
            entries_left = len(self._entries) - index
            last = self._call_entry(
                entry, call, remaining_s / entries_left if repeatable else remaining_s
            )
            if last.status == OUTCOME_UNKNOWN_STATUS and not repeatable:
                return last
            if last.status not in (NOT_ACCEPTED_STATUS, OUTCOME_UNKNOWN_STATUS):
                return last_unknown if last_unknown is not None and last.codes else last
            if last.status == OUTCOME_UNKNOWN_STATUS:
                last_unknown = last
        return last_unknown or last

    def _call_entry(self, entry: str, call: Call, timeout_s: float) -> Answer:
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), total=timeout_s
        )
        try:
            response = self._pool.request(
                call.method,
                entry.rstrip("/") + call.path,
                fields=dict(call.query) if not call.body else None,
                body=call.body or None,
                headers=self._headers(timeout_s),
                timeout=timeout,
                preload_content=True,
            )
        except NOT_ACCEPTED_ERRORS as error:
            return _failure_answer(entry, Code.UNAVAILABLE, str(error))
        except urllib3.exceptions.HTTPError as error:
            return _failure_answer(entry, Code.OUTCOME_UNKNOWN, str(error))
        return decode_answer(entry, response.status, response.data)

    def _headers(self, timeout_s: float) -> Mapping[str, str]:
        return {
            "X-Author": self._author,
            "X-Timeout-S": f"{min(timeout_s, MAX_TIMEOUT_S):.3f}",
            "Content-Type": "application/json",
        }


def _failure_answer(entry: str, code: Code, detail: str) -> Answer:
    status = NOT_ACCEPTED_STATUS if code is Code.UNAVAILABLE else OUTCOME_UNKNOWN_STATUS
    problem = Problem(code=code, step=STEP, peer=entry or "self", detail=detail)
    return Answer(entry=entry, status=status, value={"problems": [to_plain(problem)]})


def decode_answer(entry: str, status: int, data: bytes) -> Answer:
    """Decode the answer of an entry; one that is not a JSON object is a failure."""
    try:
        value = msgspec.json.decode(data)
    except DECODING_ERRORS as error:
        detail = f"status {status} without a JSON answer: {error}"
        return _failure_answer(entry, Code.OUTCOME_UNKNOWN, detail)
    if not isinstance(value, dict):
        return _failure_answer(
            entry, Code.OUTCOME_UNKNOWN, f"status {status}: answer is not a JSON object"
        )
    answer = Answer(entry=entry, status=status, value=value)
    if status >= 400 and not answer.problems:
        return replace(
            _failure_answer(entry, Code.OUTCOME_UNKNOWN, str(value)), status=status
        )
    return answer
