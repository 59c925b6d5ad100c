"""Tests of copies of data classes with some fields changed."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from typing import Any

import testtools

from bulrushpulley.entities.changing import replace


@dataclass(frozen=True, kw_only=True, slots=True)
class Base:
    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Derived(Base):
    number: int = 3
    more: tuple[int, ...] = ()


class ReplaceTest(testtools.TestCase):
    def test_the_copy_is_that_of_the_standard_library(self) -> None:
        row = Derived(name="a", number=1, more=(2,))
        changes: tuple[dict[str, Any], ...] = (
            {},
            {"name": "b"},
            {"number": 4, "more": ()},
        )
        for change in changes:
            expected = dataclasses.replace(row, **change)
            self.assertEqual(expected, replace(row, **change))
            self.assertEqual(hash(expected), hash(replace(row, **change)))
        self.assertEqual(Derived(name="a", number=1, more=(2,)), row)

    def test_the_copy_is_frozen(self) -> None:
        copy: Any = replace(Derived(name="a"), number=2)
        self.assertRaises(dataclasses.FrozenInstanceError, setattr, copy, "number", 3)

    def test_an_unknown_field_is_an_error(self) -> None:
        row: Any = Derived(name="a")
        error = self.assertRaises(TypeError, replace, row, other=1)
        self.assertIn("other", str(error))
