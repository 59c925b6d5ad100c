"""Copies of data classes with some fields changed.

Systems copy rows and tables for nearly every change, and `dataclasses.replace` spends
most of its time on the fields that stay the same. `replace` copies slots instead. It
applies to data classes with slots and without `__post_init__`.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from functools import cache
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    # Type checkers know the fields that this function accepts.
    from dataclasses import replace as replace
else:

    def replace(row, /, **changes):
        """Return a copy of a data class with the named fields changed.

        Raises `TypeError` if the class has no such field.

        Example::

            replace(task, state=TaskState.DONE)
        """
        cls = type(row)
        copy = object.__new__(cls)
        changed = 0
        for name, read, write in _slots_of(cls):
            if name in changes:
                write(copy, changes[name])
                changed += 1
            else:
                write(copy, read(row))
        if changed != len(changes):
            names = {field.name for field in dataclasses.fields(cls)}
            unknown = ", ".join(sorted(changes.keys() - names))
            raise TypeError(f"{cls.__name__} has no field {unknown}")
        return copy


Reader = Callable[[Any], Any]
Writer = Callable[[Any, Any], None]


@cache
def _slots_of(cls: type) -> tuple[tuple[str, Reader, Writer], ...]:
    """Return the name of each field, and the functions that read and write its slot."""
    slots = [
        (field.name, getattr(cls, field.name)) for field in dataclasses.fields(cls)
    ]
    return tuple((name, slot.__get__, slot.__set__) for name, slot in slots)
