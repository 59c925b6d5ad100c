"""Readers of the fields of decoded JSON bodies; errors name the invalid field.

Absent and null fields have the platform's defaults: zero, false or empty.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from bulrushpulley.errors import BulrushpulleyError, Code, Problem

Fields = Mapping[str, Any]
# Larger integers are not all exact as floats.
MAX_INTEGER = 2**53


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
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
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


def text(raw: Fields, name: str, step: str) -> str:
    """Return a field that must be text."""
    value = raw.get(name, "")
    if value is None:
        return ""
    if not isinstance(value, str):
        raise field_error(step, name, "must be text")
    return value


def number(raw: Fields, name: str, step: str) -> float:
    """Return a field that must be a non-negative number."""
    value = raw.get(name, 0)
    if value is None:
        return 0.0
    if type(value) not in (int, float):
        raise field_error(step, name, "must be a number")
    if not 0 <= value <= MAX_INTEGER:
        raise field_error(step, name, "is out of range")
    return float(value)


def integer(raw: Fields, name: str, step: str) -> int:
    """Return a field that must be a non-negative integer."""
    value = number(raw, name, step)
    if value != int(value):
        raise field_error(step, name, "must be a whole number")
    return int(value)


def flag(raw: Fields, name: str, step: str) -> bool:
    """Return a field that must be true or false."""
    value = raw.get(name, False)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise field_error(step, name, "must be true or false")
    return value
