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
from typing import Generic, TypeVar

from pyrsistent import PMap, pmap

R = TypeVar("R")

IndexFunction = Callable[[R], tuple[str, ...]]
IndexEntries = PMap[str, "PMap[str, None]"]


def _without(entries: IndexEntries, value: str, key: str) -> IndexEntries:
    if value not in entries:
        # An index function may return a value twice.
        return entries
    remaining = entries[value].discard(key)
    return entries.set(value, remaining) if remaining else entries.remove(value)


def _with(entries: IndexEntries, value: str, key: str) -> IndexEntries:
    return entries.set(value, entries.get(value, pmap()).set(key, None))


@dataclass(frozen=True, kw_only=True, slots=True)
class Table(Generic[R]):
    """Rows keyed by id, with secondary indexes from index values to keys."""

    by_key: PMap[str, R]
    index_functions: Mapping[str, IndexFunction[R]]
    by_index: Mapping[str, IndexEntries]

    @staticmethod
    def empty(indexes: Mapping[str, IndexFunction[R]] | None = None) -> Table[R]:
        """Return a table without rows; `indexes` maps names to index functions."""
        index_functions = dict(indexes or {})
        return Table(
            by_key=pmap(),
            index_functions=index_functions,
            by_index={name: pmap() for name in index_functions},
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
            by_key=self.by_key.remove(key),
            index_functions=self.index_functions,
            by_index=indexes,
        )

    def keys_where(self, index: str, value: str) -> Iterable[str]:
        """Return the keys whose row has `value` in `index`, in arbitrary order."""
        return self.by_index[index].get(value, pmap()).keys()

    def rows_where(self, index: str, value: str) -> list[R]:
        """Return the rows that have `value` in `index`, ordered by key."""
        return [self.by_key[key] for key in sorted(self.keys_where(index, value))]

    def count_where(self, index: str, value: str) -> int:
        """Count the rows that have `value` in `index`."""
        return len(self.by_index[index].get(value, pmap()))

    def rows(self) -> list[R]:
        """Return every row, ordered by key."""
        return [self.by_key[key] for key in sorted(self.by_key)]

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
