"""Readers of the fields of decoded JSON bodies; errors name the invalid field.

Absent and null fields have the platform's defaults: zero, false or empty.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

import msgspec

from bulrushpulley.entities.address import address_defect
from bulrushpulley.entities.numbers import are_amounts
from bulrushpulley.errors import BulrushpulleyError, Code, Problem
from bulrushpulley.wire.decoding import DECODING_ERRORS

T = TypeVar("T")
Fields = Mapping[str, Any]


def field_error(step: str, field: str, detail: str) -> BulrushpulleyError:
    """Return the error for an invalid field."""
    problem = Problem(
        code=Code.INVALID, step=step, peer="body", detail=detail, field=field
    )
    return BulrushpulleyError(problem=problem)


def decode_object(data: bytes, step: str) -> Fields:
    """Decode JSON that must be an object."""
    try:
        value = msgspec.json.decode(data)
    except DECODING_ERRORS as error:
        raise field_error(step, "", f"{error}") from error
    return check_object(value, step, "")


def check_object(value: object, step: str, field: str) -> Fields:
    """Return `value`, which must be a JSON object."""
    if not isinstance(value, dict):
        raise field_error(step, field, "must be an object")
    return value


def objects(raw: Fields, name: str, step: str) -> tuple[Fields, ...]:
    """Return a field that must be a list of objects."""
    return tuple(check_object(item, step, name) for item in items(raw, name, step))


def items(raw: Fields, name: str, step: str) -> list[Any]:
    """Return a field that must be a list."""
    value = raw.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise field_error(step, name, "must be a list")
    return value


def sound_values(
    values: Iterable[Any],
    decode: Callable[[Any], T],
    report: Callable[[Problem], None],
) -> tuple[T, ...]:
    """Decode each value of a list; report the malformed ones and leave them out."""
    sound: list[T] = []
    for value in values:
        try:
            sound.append(decode(value))
        except BulrushpulleyError as error:
            report(error.problem)
    return tuple(sound)


def text(raw: Fields, name: str, step: str) -> str:
    """Return a field that must be text."""
    return text_value(raw.get(name), name, step)


def texts(raw: Fields, name: str, step: str) -> tuple[str, ...]:
    """Return a field that must be a list of texts."""
    return tuple(text_value(value, name, step) for value in items(raw, name, step))


def text_value(value: Any, name: str, step: str) -> str:
    """Return a value that must be text; that of an absent or null one is empty."""
    if value is None:
        return ""
    if not isinstance(value, str):
        raise field_error(step, name, "must be text")
    return value


def address(raw: Fields, name: str, step: str) -> str:
    """Return a field that must be an address that can be dialled."""
    value = text(raw, name, step)
    defect = address_defect(value)
    if defect:
        raise field_error(step, name, defect)
    return value


def number(raw: Fields, name: str, step: str) -> float:
    """Return a field that must be a non-negative number."""
    return number_value(raw.get(name), name, step)


def number_value(value: Any, name: str, step: str) -> float:
    """Return a value that must be a non-negative number; absent ones are zero."""
    if value is None:
        return 0.0
    if type(value) not in (int, float):
        raise field_error(step, name, "must be a number")
    if not are_amounts(value):
        raise field_error(step, name, "is out of range")
    return float(value)


def integer(raw: Fields, name: str, step: str) -> int:
    """Return a field that must be a non-negative integer."""
    return integer_value(raw.get(name), name, step)


def integer_value(value: Any, name: str, step: str) -> int:
    """Return a value that must be a non-negative integer; absent ones are zero."""
    exact = number_value(value, name, step)
    if exact != int(exact):
        raise field_error(step, name, "must be a whole number")
    return int(exact)


def flag(raw: Fields, name: str, step: str) -> bool:
    """Return a field that must be true or false."""
    value = raw.get(name, False)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise field_error(step, name, "must be true or false")
    return value
