"""Reads the complete body of an HTTP answer, up to a size limit and a deadline."""

from __future__ import annotations

import time
from collections.abc import Callable

import urllib3

from bulrushpulley.errors import BulrushpulleyError, Code, Problem

READ_CHUNK_BYTES = 64 * 1024
BODILESS_STATUSES = frozenset({204, 304})


def read_body(
    response: urllib3.BaseHTTPResponse,
    *,
    deadline: float,
    max_bytes: int,
    step: str,
    peer: str,
    clock: Callable[[], float] = time.monotonic,
) -> bytes:
    """Read a body of at most `max_bytes` bytes to its end, before `deadline`.

    urllib3 raises an error if the body is shorter than its Content-Length. A body
    that ends only when the connection closes is an error, since it may be truncated.
    """
    if not is_delimited(response):
        detail = "the body has no stated end"
        raise _error(Code.OUTCOME_UNKNOWN, step, peer, detail)
    chunks: list[bytes] = []
    size = 0
    for chunk in response.stream(READ_CHUNK_BYTES):
        chunks.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            raise _error(Code.TOO_LARGE, step, peer, f"over {max_bytes} bytes")
        if clock() > deadline:
            raise _error(Code.DEADLINE, step, peer, "the body did not end in time")
    return b"".join(chunks)


def is_delimited(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether the headers of an answer determine where its body ends."""
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    has_length = "Content-Length" in response.headers
    return chunked or has_length or response.status in BODILESS_STATUSES


def _error(code: Code, step: str, peer: str, detail: str) -> BulrushpulleyError:
    problem = Problem(code=code, step=step, peer=peer, detail=detail)
    return BulrushpulleyError(problem=problem)
