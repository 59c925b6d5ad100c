"""Reads the body of an HTTP answer whole, within a size and a deadline."""

from __future__ import annotations

import time
from collections.abc import Callable

import urllib3

from bulrushpulley.errors import BulrushpulleyError, Code, Problem

READ_BYTES = 64 * 1024


def read_whole(
    response: urllib3.BaseHTTPResponse,
    *,
    deadline: float,
    limit: int,
    step: str,
    peer: str,
    clock: Callable[[], float] = time.monotonic,
) -> bytes:
    """Read a body of at most `limit` bytes to its end, before `deadline`.

    A body that is shorter than its Content-Length is an error of urllib3.
    """
    parts: list[bytes] = []
    size = 0
    for part in response.stream(READ_BYTES):
        parts.append(part)
        size += len(part)
        if size > limit:
            raise _error(Code.TOO_LARGE, step, peer, f"over {limit} bytes")
        if clock() > deadline:
            raise _error(Code.DEADLINE, step, peer, "the body did not end in time")
    return b"".join(parts)


def _error(code: Code, step: str, peer: str, detail: str) -> BulrushpulleyError:
    problem = Problem(code=code, step=step, peer=peer, detail=detail)
    return BulrushpulleyError(problem=problem)
