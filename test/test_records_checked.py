"""Tests of reading mappings strictly into frozen data classes."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated

import testtools

from bulrushpulley.errors import Code
from bulrushpulley.wire.validation import Length, Range, Text, build


class Colour(enum.Enum):
    RED = "red"


@dataclass(frozen=True, kw_only=True, slots=True)
class Inner:
    port: Annotated[int, Range(low=1, high=65_535)] = 80


@dataclass(frozen=True, kw_only=True, slots=True)
class Outer:
    name: Annotated[str, Text(pattern="[a-z]+", max_characters=5)]
    share: float = 1.0
    colour: Colour = Colour.RED
    inner: Inner = field(default_factory=Inner)
    many: Annotated[tuple[Inner, ...], Length(max_items=2)] = ()
    by_name: Mapping[str, int] = field(default_factory=dict)
    maybe: str | None = None


class CheckedTest(testtools.TestCase):
    def codes_by_field(self, raw: object) -> dict[str, Code]:
        with self.assertRaises(ExceptionGroup) as caught:
            build(Outer, raw, step="settings.check", peer="self")
        problems = [error.problem for error in caught.exception.exceptions]  # type: ignore[union-attr]
        self.assertEqual({"settings.check"}, {problem.step for problem in problems})
        return {problem.field: problem.code for problem in problems}

    def test_a_complete_mapping_is_read(self) -> None:
        raw = {"name": "ege", "share": 2, "many": [{"port": 1}], "by_name": {"a": 1}}
        built = build(Outer, raw, step="settings.check", peer="self")
        self.assertEqual(2.0, built.share)
        self.assertEqual((Inner(port=1),), built.many)

    def test_integers_that_do_not_fit_into_a_float_are_errors(self) -> None:
        # They raised OverflowError, on conversion or in the text of the error.
        raw = {"name": "ege", "share": 10**400, "inner": {"port": 10**400}}
        expected = {"share": Code.INVALID, "inner.port": Code.INVALID}
        self.assertEqual(expected, self.codes_by_field(raw))

    def test_every_error_is_reported_at_once(self) -> None:
        raw = {
            "share": float("nan"),
            "colour": "blue",
            "inner": {"port": True, "extra": 1},
            "many": [{"port": 0}, {"port": 70_000}],
            "by_name": {"a": "x"},
            "unknown": 1,
        }
        expected = dict.fromkeys(
            ["name", "share", "colour", "inner.port", "many.0.port", "many.1.port"],
            Code.INVALID,
        )
        expected["by_name.a"] = Code.INVALID
        expected["inner.extra"] = expected["unknown"] = Code.UNKNOWN_KEY
        self.assertEqual(expected, self.codes_by_field(raw))

    def test_lengths_and_patterns_are_limits(self) -> None:
        self.assertEqual(
            {"name": Code.INVALID}, self.codes_by_field({"name": "abcdef"})
        )
        self.assertEqual({"name": Code.INVALID}, self.codes_by_field({"name": "A"}))
        raw = {"name": "a", "many": [{}, {}, {}]}
        self.assertEqual({"many": Code.INVALID}, self.codes_by_field(raw))
        self.assertEqual({"": Code.INVALID}, self.codes_by_field([]))
