"""The plan of a load, and the report on the outcomes of its calls."""

from __future__ import annotations

import enum
import json
import random
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

HISTOGRAM_MAX_US = 120_000_000
HISTOGRAM_DIGITS = 3


class Outcome(enum.Enum):
    """How a call ended for its caller."""

    SERVED = "served"
    WRONG = "wrong"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    INVALID = "invalid"


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedCall:
    """One call of the load, which is due `at_s` seconds after the start."""

    at_s: float
    request_id: str
    repeatable: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedCall:
    """A call with its last outcome.

    `known_not_run` is set if every attempt was refused as not run.
    """

    call: PlannedCall
    outcome: Outcome
    latency_s: float
    tries: int
    known_not_run: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """The result of a load.

    `doubled` counts the unrepeatable calls that ran more than once, `false_refusals`
    the calls that ran although every attempt was refused as not run, and `lost` the
    calls with an unknown outcome that never ran.
    """

    calls: int
    served: int
    wrong: int
    refused: int
    unknown: int
    invalid: int
    doubled: int
    false_refusals: int
    lost: int
    retries: int
    p50_ms: float
    p99_ms: float


def plan(
    *, rate: float, seconds: float, repeatable_share: float, seed: int, name: str
) -> tuple[PlannedCall, ...]:
    """Return open-loop arrivals at `rate` a second; ids begin with `name`."""
    rng = random.Random(seed)
    calls: list[PlannedCall] = []
    at_s = rng.expovariate(rate)
    while at_s < seconds:
        call = PlannedCall(
            at_s=at_s,
            request_id=f"{name}-{len(calls)}",
            repeatable=rng.random() < repeatable_share,
        )
        calls.append(call)
        at_s += rng.expovariate(rate)
    return tuple(calls)


def outcome_of(status: int, body: bytes, call: PlannedCall, sent: bytes) -> Outcome:
    """Classify one reply of an entry."""
    if status == 200:
        own = body.endswith(b"\n" + sent) and (
            call.repeatable or body.startswith(call.request_id.encode() + b"\n")
        )
        return Outcome.SERVED if own else Outcome.WRONG
    ran = ran_field(body)
    if ran == "no":
        return Outcome.INVALID if status in (400, 404, 413) else Outcome.REFUSED
    return Outcome.UNKNOWN


def ran_field(body: bytes) -> str:
    """Return the field "ran" of a refusal, or an empty string without one."""
    try:
        value = json.loads(body)
    except ValueError:
        return ""
    return str(value.get("ran", "")) if isinstance(value, dict) else ""


def tally(ended: Iterable[EndedCall], run_count_by_id: Mapping[str, int]) -> Report:
    """Count the outcomes and compare them with the runs on the backend servers."""
    calls = list(ended)
    count_by_outcome = Counter(item.outcome for item in calls)
    histogram = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
    for item in calls:
        if item.outcome is Outcome.SERVED:
            histogram.record_value(int(item.latency_s * 1e6))
    return Report(
        calls=len(calls),
        served=count_by_outcome[Outcome.SERVED],
        wrong=count_by_outcome[Outcome.WRONG],
        refused=count_by_outcome[Outcome.REFUSED],
        unknown=count_by_outcome[Outcome.UNKNOWN],
        invalid=count_by_outcome[Outcome.INVALID],
        doubled=sum(is_doubled(item, run_count_by_id) for item in calls),
        false_refusals=sum(is_false_refusal(item, run_count_by_id) for item in calls),
        lost=sum(is_lost(item, run_count_by_id) for item in calls),
        retries=sum(item.tries - 1 for item in calls),
        p50_ms=histogram.get_value_at_percentile(50) / 1e3,
        p99_ms=histogram.get_value_at_percentile(99) / 1e3,
    )


def is_doubled(item: EndedCall, run_count_by_id: Mapping[str, int]) -> bool:
    """Return whether an unrepeatable call ran more than once."""
    count = run_count_by_id.get(item.call.request_id, 0)
    return not item.call.repeatable and count > 1


def is_false_refusal(item: EndedCall, run_count_by_id: Mapping[str, int]) -> bool:
    """Return whether a call ran although every attempt was refused as not run."""
    return item.known_not_run and item.call.request_id in run_count_by_id


def is_lost(item: EndedCall, run_count_by_id: Mapping[str, int]) -> bool:
    """Return whether a call with an unknown outcome never ran."""
    unknown = item.outcome is Outcome.UNKNOWN
    return unknown and item.call.request_id not in run_count_by_id
