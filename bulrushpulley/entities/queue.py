"""An immutable first-in, first-out queue.

Appending and removing an item takes about the same time whatever the length. A
few items may be put back in front.

Example::

    queue = Queue.empty().append("a").append("b")
    queue.first, queue.rest().first
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

from pyrsistent import PVector, pvector

from bulrushpulley.entities.changing import replace

T = TypeVar("T")

MIN_START_TO_COMPACT = 1_024


@dataclass(frozen=True, kw_only=True, slots=True)
class Queue(Generic[T]):
    """The items put back in `front`, then those of `items` from `start` on.

    The removed items before `start` are dropped once there are `MIN_START_TO_COMPACT`
    of them and they are more than half of `items`, so that copying the rest is rare.
    """

    front: tuple[T, ...]
    items: PVector[T]
    start: int

    @staticmethod
    def empty() -> Queue[T]:
        """Return a queue without items."""
        return Queue(front=(), items=pvector(), start=0)

    @property
    def first(self) -> T:
        """The next item; the queue must not be empty."""
        return self.front[0] if self.front else self.items[self.start]

    def append(self, item: T) -> Queue[T]:
        """Return the queue with an item at its end."""
        return replace(self, items=self.items.append(item))

    def prepend(self, item: T) -> Queue[T]:
        """Return the queue with an item put back in front."""
        return replace(self, front=(item, *self.front))

    def rest(self) -> Queue[T]:
        """Return the queue without its first item."""
        if self.front:
            return replace(self, front=self.front[1:])
        start = self.start + 1
        if start >= MIN_START_TO_COMPACT and 2 * start > len(self.items):
            return replace(self, items=pvector(self.items[start:]), start=0)
        return replace(self, start=start)

    def __len__(self) -> int:
        return len(self.front) + len(self.items) - self.start

    def __bool__(self) -> bool:
        return len(self) > 0
