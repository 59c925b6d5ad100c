"""An immutable double-ended queue of keys, with constant-time access to both ends.

Example::

    queue = KeyQueue().append("b").append("c").appendleft("a")
    queue.left, queue.right, len(queue.popleft())  # ("a", "c", 2)
"""

from __future__ import annotations

from dataclasses import dataclass, field

from pyrsistent import PMap, pmap

from bulrushpulley.entities.changing import replace


@dataclass(frozen=True, kw_only=True, slots=True)
class KeyQueue:
    """Keys by position; the positions from `first` to `last` are occupied."""

    by_position: PMap[int, str] = field(default_factory=pmap)
    first: int = 0
    last: int = -1

    @property
    def left(self) -> str:
        """The key at the left end."""
        return self.by_position[self.first]

    @property
    def right(self) -> str:
        """The key at the right end."""
        return self.by_position[self.last]

    def append(self, key: str) -> KeyQueue:
        """Return the queue with a key added at its right end."""
        last = self.last + 1
        return replace(self, by_position=self.by_position.set(last, key), last=last)

    def appendleft(self, key: str) -> KeyQueue:
        """Return the queue with a key added at its left end."""
        first = self.first - 1
        return replace(self, by_position=self.by_position.set(first, key), first=first)

    def pop(self) -> KeyQueue:
        """Return the queue without the key at its right end."""
        remaining = self.by_position.remove(self.last)
        return replace(self, by_position=remaining, last=self.last - 1)

    def popleft(self) -> KeyQueue:
        """Return the queue without the key at its left end."""
        remaining = self.by_position.remove(self.first)
        return replace(self, by_position=remaining, first=self.first + 1)

    def __len__(self) -> int:
        return len(self.by_position)
