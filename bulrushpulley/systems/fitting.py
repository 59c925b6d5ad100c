"""Selects what fits into a row of the store."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

T = TypeVar("T")


def fitting(
    items: Iterable[T], bytes_of: Callable[[T], int], max_bytes: int
) -> tuple[T, ...]:
    """Return the first items that fit, without those that are too large for the rest.

    >>> fitting([40, 70, 50], lambda item: item, 100)
    (40, 50)
    """
    chosen: list[T] = []
    left_bytes = max_bytes
    for item in items:
        item_bytes = bytes_of(item)
        if item_bytes <= left_bytes:
            chosen.append(item)
            left_bytes -= item_bytes
    return tuple(chosen)
