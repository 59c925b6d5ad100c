"""Parses operators' records from decoded JSON, and converts data classes for JSON.

A record names its kind and schema version; `FORMS` holds the typed form of each
pair. Several versions of a kind are supported side by side: each form is validated
strictly and converted to the current record.

Example::

    parsed = parse_record({"kind": "job", "schema_version": 2, ...}, peer="ops")
    parsed.record.tasks
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

import msgspec

from bulrushpulley.entities.records import CellRecord, Record
from bulrushpulley.errors import BulrushpulleyError, Code, Problem
from bulrushpulley.wire import record_forms as forms
from bulrushpulley.wire.decoding import DECODING_ERRORS
from bulrushpulley.wire.validation import ValueLocation, build, raise_problems

STEP = "records.check"
MAX_RECORD_BYTES = 256 * 1024
HEADER_KEYS = frozenset({"kind", "schema_version", "author"})

FORMS: Mapping[str, Mapping[int, type]] = {
    "service": {1: forms.ServiceV1, 2: forms.ServiceV2},
    "job": {1: forms.JobV1, 2: forms.JobV2},
    "failure_domain": {1: forms.FailureDomainV1},
    "policy": {1: forms.PolicyV1},
    "cell": {1: forms.CellV1},
}


@dataclass(frozen=True, kw_only=True, slots=True)
class ParsedRecord:
    """A validated record in its current form, and its header as submitted."""

    kind: str
    schema_version: int
    author: str
    record: Record


def decode_object(body: bytes, *, peer: str) -> Mapping[str, Any]:
    """Decode a JSON object of bounded size."""
    location = ValueLocation(step=STEP, peer=peer)
    if len(body) > MAX_RECORD_BYTES:
        detail = f"a record has at most {MAX_RECORD_BYTES} bytes, not {len(body)}"
        raise BulrushpulleyError(problem=location.problem(detail, Code.TOO_LARGE))
    try:
        raw = msgspec.json.decode(body)
    except DECODING_ERRORS as error:
        raise BulrushpulleyError(
            problem=location.problem(f"malformed JSON: {error}")
        ) from error
    if not isinstance(raw, dict):
        raise BulrushpulleyError(problem=location.problem("must be a JSON object"))
    return raw


def parse_record(raw: Mapping[str, Any], *, peer: str) -> ParsedRecord:
    """Check a decoded record and convert it to the current form.

    Raises an `ExceptionGroup` of `BulrushpulleyError` with every problem found.
    """
    location = ValueLocation(step=STEP, peer=peer)
    kind, version, author = (raw.get("kind"), raw.get("schema_version"), "")
    problems = _header_problems(kind, version, location)
    if "author" in raw:
        author = raw["author"]
        if type(author) is not str:
            problems.append(location.at("author").problem("must be str"))
    raise_problems(tuple(problems))
    fields = {key: value for key, value in raw.items() if key not in HEADER_KEYS}
    form = FORMS[str(kind)][int(str(version))]
    record = forms.to_record(build(form, fields, step=STEP, peer=peer))
    raise_problems(cross_field_problems(record, location))
    return ParsedRecord(
        kind=str(kind), schema_version=int(str(version)), author=author, record=record
    )


def _header_problems(
    kind: object, version: object, location: ValueLocation
) -> list[Problem]:
    versions = FORMS.get(kind) if type(kind) is str else None
    if versions is None:
        detail = f"must be one of {', '.join(FORMS)}"
        return [location.at("kind").problem(detail, Code.UNKNOWN_KIND)]
    if type(version) is not int or version not in versions:
        known = ", ".join(str(number) for number in versions)
        detail = f"must be one of {known} for a {kind}"
        return [location.at("schema_version").problem(detail, Code.SCHEMA_VERSION)]
    return []


@singledispatch
def cross_field_problems(
    record: Record, location: ValueLocation
) -> tuple[Problem, ...]:
    """Return the problems that involve several fields of a record."""
    return ()


@cross_field_problems.register
def _(record: CellRecord, location: ValueLocation) -> tuple[Problem, ...]:
    ids = [worker.worker_id for worker in record.workers]
    return tuple(
        location.at(f"workers.{index}.worker_id").problem("stands twice in the cell")
        for index, worker_id in enumerate(ids)
        if worker_id in ids[:index]
    )


@singledispatch
def to_plain(value: object) -> Any:
    """Convert `value` for JSON: data classes to objects, enums to their values."""
    if dataclasses.is_dataclass(value):
        return {
            item.name: to_plain(getattr(value, item.name))
            for item in dataclasses.fields(value)
        }
    return value


@to_plain.register
def _(value: enum.Enum) -> Any:
    return value.value


@to_plain.register(tuple)
@to_plain.register(list)
def _(value: Any) -> Any:
    return [to_plain(item) for item in value]


@to_plain.register
def _(value: Mapping) -> Any:  # type: ignore[type-arg]
    return {key: to_plain(item) for key, item in value.items()}
