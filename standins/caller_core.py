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
    attempts: int
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
    *,
    rate: float,
    seconds: float,
    repeatable_fraction: float,
    seed: int,
    id_prefix: str,
) -> tuple[PlannedCall, ...]:
    """Return open-loop arrivals at `rate` a second; ids begin with `id_prefix`."""
    rng = random.Random(seed)
    calls: list[PlannedCall] = []
    at_s = rng.expovariate(rate)
    while at_s < seconds:
        call = PlannedCall(
            at_s=at_s,
            request_id=f"{id_prefix}-{len(calls)}",
            repeatable=rng.random() < repeatable_fraction,
        )
        calls.append(call)
        at_s += rng.expovariate(rate)
    return tuple(calls)


def outcome_of(
    status: int, body: bytes, call: PlannedCall, sent_body: bytes
) -> Outcome:
    """Classify one reply of an entry.

    Only the answer to an unrepeatable call must begin with the request id.
    """
    if status == 200:
        is_own_answer = body.endswith(b"\n" + sent_body) and (
            call.repeatable or body.startswith(call.request_id.encode() + b"\n")
        )
        return Outcome.SERVED if is_own_answer else Outcome.WRONG
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


def tally(
    ended_calls: Iterable[EndedCall], run_count_by_id: Mapping[str, int]
) -> Report:
    """Count the outcomes and compare them with the runs on the backend servers."""
    calls = list(ended_calls)
    count_by_outcome = Counter(ended_call.outcome for ended_call in calls)
    histogram = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
    for ended_call in calls:
        if ended_call.outcome is Outcome.SERVED:
            histogram.record_value(int(ended_call.latency_s * 1e6))
    return Report(
        calls=len(calls),
        served=count_by_outcome[Outcome.SERVED],
        wrong=count_by_outcome[Outcome.WRONG],
        refused=count_by_outcome[Outcome.REFUSED],
        unknown=count_by_outcome[Outcome.UNKNOWN],
        invalid=count_by_outcome[Outcome.INVALID],
        doubled=sum(is_doubled(ended_call, run_count_by_id) for ended_call in calls),
        false_refusals=sum(
            is_false_refusal(ended_call, run_count_by_id) for ended_call in calls
        ),
        lost=sum(is_lost(ended_call, run_count_by_id) for ended_call in calls),
        retries=sum(ended_call.attempts - 1 for ended_call in calls),
        p50_ms=histogram.get_value_at_percentile(50) / 1e3,
        p99_ms=histogram.get_value_at_percentile(99) / 1e3,
    )


def is_doubled(ended_call: EndedCall, run_count_by_id: Mapping[str, int]) -> bool:
    """Return whether an unrepeatable call ran more than once."""
    count = run_count_by_id.get(ended_call.call.request_id, 0)
    return not ended_call.call.repeatable and count > 1


def is_false_refusal(ended_call: EndedCall, run_count_by_id: Mapping[str, int]) -> bool:
    """Return whether a call ran although every attempt was refused as not run."""
    return ended_call.known_not_run and ended_call.call.request_id in run_count_by_id


def is_lost(ended_call: EndedCall, run_count_by_id: Mapping[str, int]) -> bool:
    """Return whether a call with an unknown outcome never ran."""
    unknown = ended_call.outcome is Outcome.UNKNOWN
    return unknown and ended_call.call.request_id not in run_count_by_id
