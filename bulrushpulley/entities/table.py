"""An immutable table of rows keyed by id, with secondary indexes.

Entities live in tables; systems take tables and return new ones. The rows, in
`by_key`, and the indexes are persistent maps, so the cost of a change depends on the
entries that it touches and not on the size of the table.

Example::

    def by_state(task: Task) -> tuple[str, ...]:
        return (task.state.value,)

    tasks = Table.empty(indexes={"state": by_state})
    tasks = tasks.put(task.task_id, task)
    tasks.keys_where("state", "running")
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from operator import itemgetter
from typing import Generic, TypeVar

from immutables import Map

R = TypeVar("R")

IndexFunction = Callable[[R], tuple[str, ...]]
IndexEntries = Map[str, "Map[str, None]"]
NO_KEYS: Map[str, None] = Map()


def _without(entries: IndexEntries, value: str, key: str) -> IndexEntries:
    keys = entries.get(value)
    if keys is None or key not in keys:
        # An index function may return a value twice.
        return entries
    remaining = keys.delete(key)
    return entries.set(value, remaining) if remaining else entries.delete(value)


def _with(entries: IndexEntries, value: str, key: str) -> IndexEntries:
    return entries.set(value, entries.get(value, NO_KEYS).set(key, None))


@dataclass(frozen=True, kw_only=True, slots=True)
class Table(Generic[R]):
    """Rows keyed by id, with secondary indexes from index values to keys."""

    by_key: Map[str, R]
    index_functions: Mapping[str, IndexFunction[R]]
    by_index: Mapping[str, IndexEntries]

    @staticmethod
    def empty(indexes: Mapping[str, IndexFunction[R]] | None = None) -> Table[R]:
        """Return a table without rows; `indexes` maps names to index functions."""
        index_functions = dict(indexes or {})
        return Table(
            by_key=Map(),
            index_functions=index_functions,
            by_index={name: Map() for name in index_functions},
        )

    def get(self, key: str) -> R | None:
        """Return the row for a key, or None."""
        return self.by_key.get(key)

    def put(self, key: str, row: R) -> Table[R]:
        """Return a table in which `key` maps to `row`."""
        indexes = self._reindexed(key, self.by_key.get(key), row)
        return Table(
            by_key=self.by_key.set(key, row),
            index_functions=self.index_functions,
            by_index=indexes,
        )

    def drop(self, key: str) -> Table[R]:
        """Return a table without `key`, which may be absent."""
        if key not in self.by_key:
            return self
        indexes = self._reindexed(key, self.by_key[key], None)
        return Table(
            by_key=self.by_key.delete(key),
            index_functions=self.index_functions,
            by_index=indexes,
        )

    def keys_where(self, index: str, value: str) -> Iterable[str]:
        """Return the keys whose row has `value` in `index`, in arbitrary order."""
        return self.by_index[index].get(value, NO_KEYS).keys()

    def rows_where(self, index: str, value: str) -> list[R]:
        """Return the rows that have `value` in `index`, ordered by key."""
        rows = self.by_key
        return [rows[key] for key in sorted(self.keys_where(index, value))]

    def count_where(self, index: str, value: str) -> int:
        """Count the rows that have `value` in `index`."""
        return len(self.by_index[index].get(value, NO_KEYS))

    def rows(self) -> list[R]:
        """Return every row, ordered by key."""
        return [row for _, row in sorted(self.by_key.items(), key=itemgetter(0))]

    def __contains__(self, key: object) -> bool:
        return key in self.by_key

    def __iter__(self) -> Iterator[str]:
        return iter(self.by_key)

    def __len__(self) -> int:
        return len(self.by_key)

    def _reindexed(
        self, key: str, before: R | None, after: R | None
    ) -> Mapping[str, IndexEntries]:
        changed: dict[str, IndexEntries] = {}
        for name, index_function in self.index_functions.items():
            old = index_function(before) if before is not None else ()
            new = index_function(after) if after is not None else ()
            if old == new:
                continue
            entries = self.by_index[name]
            for value in old:
                if value not in new:
                    entries = _without(entries, value, key)
            for value in new:
                if value not in old:
                    entries = _with(entries, value, key)
            changed[name] = entries
        return {**self.by_index, **changed} if changed else self.by_index
