"""Builds frozen data classes from decoded mappings and reports every error.

The reader follows the type hints of a data class: integers, floats, booleans,
strings, enums by value, nested data classes, tuples of one type, mappings with
string keys, and optional values. It is strict: an unknown key, a missing key, a
value of another type and a value out of range each give one `Problem`; all of
them are raised together. Limits are given as annotations.

Example::

    @dataclass(frozen=True, kw_only=True, slots=True)
    class Listen:
        host: str
        port: Annotated[int, Range(low=0, high=65_535)] = 0

    listen = build(Listen, {"host": "127.0.0.1"}, step="settings.check", peer="self")
"""

from __future__ import annotations

import dataclasses
import enum
import math
import re
import sys
import types
import typing
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import cache, singledispatch
from typing import Any, TypeVar

from bulrushpulley.entities.address import address_defect
from bulrushpulley.errors import BulrushpulleyError, Code, Problem

T = TypeVar("T")
MAX_SHOWN_CHARACTERS = 40


@dataclass(frozen=True, kw_only=True, slots=True)
class Range:
    """Bounds of a number, both inclusive."""

    low: float
    high: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Text:
    """The pattern that the whole string must match and its maximum length."""

    pattern: str = ".*"
    max_characters: int = 1_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Length:
    """Bounds of the number of items of a tuple or mapping, both inclusive."""

    min_items: int = 0
    max_items: int = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class SocketAddress:
    """An IPv4 address and a port; port 0 lets the system choose one to listen on."""

    may_be_empty: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class ValueLocation:
    """The dotted path of a value, and the step and peer of its errors."""

    step: str
    peer: str
    field: str = ""

    def at(self, name: str) -> ValueLocation:
        """Return the location of a key below this one."""
        path = f"{self.field}.{name}" if self.field else name
        return dataclasses.replace(self, field=path)

    def problem(self, detail: str, code: Code = Code.INVALID) -> Problem:
        """Return a problem of the value at this location."""
        return Problem(
            code=code, step=self.step, peer=self.peer, detail=detail, field=self.field
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadResult:
    """A value that was read, or the problems that prevented reading it."""

    value: Any = None
    problems: tuple[Problem, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ScalarShape:
    """A number, boolean or string."""

    value_type: type
    limits: tuple[object, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ChoiceShape:
    """An enum member, read by its value."""

    enum_type: type[enum.Enum]


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordShape:
    """A data class, read from a mapping."""

    record_type: type


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemsShape:
    """A tuple of any length, read from a list."""

    item: Shape
    limits: tuple[object, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class MappingShape:
    """A mapping from strings to values of one type."""

    item: Shape
    limits: tuple[object, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class OptionalShape:
    """A value or None."""

    item: Shape


Shape = (
    ScalarShape | ChoiceShape | RecordShape | ItemsShape | MappingShape | OptionalShape
)


def build(cls: type[T], raw: object, *, step: str, peer: str, field: str = "") -> T:
    """Return an instance of the data class `cls` read from a decoded mapping.

    Raises an `ExceptionGroup` of `BulrushpulleyError`, one for each problem.
    """
    result = read(
        RecordShape(record_type=cls),
        raw,
        ValueLocation(step=step, peer=peer, field=field),
    )
    raise_problems(result.problems)
    value: T = result.value
    return value


def raise_problems(problems: tuple[Problem, ...]) -> None:
    """Raise all problems together as one group, if there are any."""
    if problems:
        errors = [BulrushpulleyError(problem=problem) for problem in problems]
        raise ExceptionGroup(f"{len(errors)} problem(s) in the input", errors)


@cache
def shapes_of(cls: type) -> Mapping[str, Shape]:
    """Return the shape of each field of a data class by name."""
    hints = typing.get_type_hints(cls, include_extras=True)
    return {
        field.name: _shape_of(hints[field.name]) for field in dataclasses.fields(cls)
    }


def _shape_of(hint: Any, limits: tuple[object, ...] = ()) -> Shape:
    origin = typing.get_origin(hint)
    if origin is not None:
        return _SHAPE_BUILDER_BY_ORIGIN[origin](hint, limits)
    if dataclasses.is_dataclass(hint):
        return RecordShape(record_type=typing.cast(type, hint))
    if issubclass(hint, enum.Enum):
        return ChoiceShape(enum_type=hint)
    return ScalarShape(value_type=hint, limits=limits)


def _annotated_shape(hint: Any, limits: tuple[object, ...]) -> Shape:
    return _shape_of(hint.__origin__, limits + tuple(hint.__metadata__))


def _items_shape(hint: Any, limits: tuple[object, ...]) -> Shape:
    return ItemsShape(item=_shape_of(typing.get_args(hint)[0]), limits=limits)


def _mapping_shape(hint: Any, limits: tuple[object, ...]) -> Shape:
    return MappingShape(item=_shape_of(typing.get_args(hint)[1]), limits=limits)


def _optional_shape(hint: Any, limits: tuple[object, ...]) -> Shape:
    chosen = [arg for arg in typing.get_args(hint) if arg is not types.NoneType]
    return OptionalShape(item=_shape_of(chosen[0], limits))


_SHAPE_BUILDER_BY_ORIGIN: Mapping[Any, Callable[[Any, tuple[object, ...]], Shape]] = {
    typing.Annotated: _annotated_shape,
    tuple: _items_shape,
    Mapping: _mapping_shape,
    dict: _mapping_shape,
    types.UnionType: _optional_shape,
    typing.Union: _optional_shape,
}


@singledispatch
def read(shape: Shape, raw: object, location: ValueLocation) -> ReadResult:
    """Read a decoded value in the given shape."""
    raise NotImplementedError(f"no reader for {type(shape).__name__}")


@read.register
def _(shape: ScalarShape, raw: object, location: ValueLocation) -> ReadResult:
    if shape.value_type is float and type(raw) is int:
        raw = float(raw) if abs(raw) <= sys.float_info.max else math.inf
    if type(raw) is not shape.value_type:
        detail = f"must be {shape.value_type.__name__}, not {type(raw).__name__}"
        return ReadResult(problems=(location.problem(detail),))
    if shape.value_type is float and not math.isfinite(typing.cast(float, raw)):
        return ReadResult(problems=(location.problem("must be a finite number"),))
    return _check_limits(raw, shape.limits, location)


@read.register
def _(shape: ChoiceShape, raw: object, location: ValueLocation) -> ReadResult:
    by_value = {member.value: member for member in shape.enum_type}
    if type(raw) is str and raw in by_value:
        return ReadResult(value=by_value[raw])
    return ReadResult(
        problems=(location.problem(f"must be one of {', '.join(by_value)}"),)
    )


@read.register
def _(shape: OptionalShape, raw: object, location: ValueLocation) -> ReadResult:
    return ReadResult() if raw is None else read(shape.item, raw, location)


@read.register
def _(shape: ItemsShape, raw: object, location: ValueLocation) -> ReadResult:
    if not isinstance(raw, (list, tuple)):
        return ReadResult(problems=(location.problem("must be a list"),))
    results = [
        read(shape.item, item, location.at(str(index)))
        for index, item in enumerate(raw)
    ]
    problems = tuple(problem for result in results for problem in result.problems)
    if problems:
        return ReadResult(problems=problems)
    return _check_limits(
        tuple(result.value for result in results), shape.limits, location
    )


@read.register
def _(shape: MappingShape, raw: object, location: ValueLocation) -> ReadResult:
    if not isinstance(raw, Mapping):
        return ReadResult(problems=(location.problem("must be a table of keys"),))
    results = {
        key: read(shape.item, item, location.at(str(key))) for key, item in raw.items()
    }
    problems = tuple(
        problem for result in results.values() for problem in result.problems
    )
    if problems:
        return ReadResult(problems=problems)
    value = {key: result.value for key, result in results.items()}
    return _check_limits(value, shape.limits, location)


@read.register
def _(shape: RecordShape, raw: object, location: ValueLocation) -> ReadResult:
    if not isinstance(raw, Mapping):
        return ReadResult(problems=(location.problem("must be a table of keys"),))
    shapes = shapes_of(shape.record_type)
    problems = [
        location.at(str(key)).problem("unknown key", Code.UNKNOWN_KEY)
        for key in raw
        if key not in shapes
    ]
    values: dict[str, Any] = {}
    for field in dataclasses.fields(shape.record_type):
        if field.name not in raw:
            if _is_required(field):
                problems.append(location.at(field.name).problem("is required"))
            continue
        result = read(shapes[field.name], raw[field.name], location.at(field.name))
        problems.extend(result.problems)
        values[field.name] = result.value
    if problems:
        return ReadResult(problems=tuple(problems))
    return ReadResult(value=shape.record_type(**values))


def _is_required(field: dataclasses.Field[Any]) -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _check_limits(
    value: Any, limits: tuple[object, ...], location: ValueLocation
) -> ReadResult:
    violations = [detail for limit in limits if (detail := violation(limit, value))]
    if violations:
        return ReadResult(
            problems=tuple(location.problem(detail) for detail in violations)
        )
    return ReadResult(value=value)


@singledispatch
def violation(limit: object, value: Any) -> str:
    """Describe how `value` violates a limit; empty if it does not."""
    return ""


@violation.register
def _(limit: Range, value: Any) -> str:
    if limit.low <= value <= limit.high:
        return ""
    shown = f"{value:g}" if type(value) is float else str(value)[:MAX_SHOWN_CHARACTERS]
    return f"must be from {limit.low:g} to {limit.high:g}, not {shown}"


@violation.register
def _(limit: Text, value: Any) -> str:
    if len(value) > limit.max_characters:
        return f"must have at most {limit.max_characters} characters"
    if re.fullmatch(limit.pattern, value) is None:
        return f"must match {limit.pattern}"
    return ""


@violation.register
def _(limit: SocketAddress, value: Any) -> str:
    if limit.may_be_empty and not value:
        return ""
    return address_defect(value, min_port=0)


@violation.register
def _(limit: Length, value: Any) -> str:
    if limit.min_items <= len(value) <= limit.max_items:
        return ""
    return f"must have {limit.min_items} to {limit.max_items} items, not {len(value)}"
