"""Decodes the rows that operators write into the store: settings and orders."""

from __future__ import annotations

from bulrushpulley.entities.jobs.advice import AdviceTerms
from bulrushpulley.entities.jobs.configuration import (
    Configuration,
    Evacuation,
    Queue,
    ServiceSettings,
    WaveOrder,
)
from bulrushpulley.platform.fields import (
    Fields,
    check_object,
    decode_object,
    field_error,
    flag,
    integer,
    number,
    objects,
    text,
    texts,
)

STEP = "orders.decode"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
WAVE_PREFIX = "wave/"


def decode_order(key: str, data: bytes) -> object | None:
    """Decode the configuration or order of a row; None if its kind is unknown."""
    if key == CONFIG_KEY:
        return _configuration(decode_object(data, STEP))
    if key.startswith(EVACUATE_PREFIX):
        return Evacuation(failure_domain=key.removeprefix(EVACUATE_PREFIX))
    if key.startswith(WAVE_PREFIX):
        return _wave(decode_object(data, STEP))
    return None


def _wave(raw: Fields) -> WaveOrder:
    wave = integer(raw, "MaintenanceWave", STEP)
    if not wave:
        raise field_error(STEP, "MaintenanceWave", "must be above zero")
    return WaveOrder(
        number=wave,
        machine_ids=texts(raw, "Machines", STEP),
        within_s=number(raw, "DurationS", STEP),
        # The maximum number of machines that are down at the same time.
        at_once=max(1, integer(raw, "MaxCount", STEP)),
    )


def _configuration(raw: Fields) -> Configuration:
    return Configuration(
        version=integer(raw, "Version", STEP),
        queues=tuple(_queue(item) for item in objects(raw, "Routes", STEP)),
        services=tuple(_service(item) for item in objects(raw, "Services", STEP)),
    )


def _queue(raw: Fields) -> Queue:
    return Queue(
        name=text(raw, "Name", STEP),
        authority=text(raw, "Host", STEP),
        path_prefix=text(raw, "PathPrefix", STEP),
        service=text(raw, "Service", STEP),
        priority=integer(raw, "Priority", STEP),
        max_attempts=max(1, integer(raw, "MaxAttempts", STEP)),
        # The part of a job's latency target that is proportional to the length of
        # its longest chain of steps.
        latency_factor=number(raw, "LatencyFactor", STEP),
        # The constant part of a job's latency target.
        target_latency_s=number(raw, "TargetLatencyMs", STEP) / 1_000,
        timeout_s=number(raw, "TimeoutMs", STEP) / 1_000,
        advice=_advice(raw),
    )


def _advice(raw: Fields) -> AdviceTerms | None:
    if raw.get("Recommendation") is None:
        return None
    terms = check_object(raw["Recommendation"], STEP, "Recommendation")
    return AdviceTerms(
        decide_s=number(terms, "DecisionMs", STEP) / 1_000,
        # The additional time for each server in a request.
        per_server_s=number(terms, "PerItemMs", STEP) / 1_000,
        valid_s=number(terms, "ValidityMs", STEP) / 1_000,
    )


def _service(raw: Fields) -> ServiceSettings:
    return ServiceSettings(
        name=text(raw, "Name", STEP),
        guards_capacity=flag(raw, "EnforceCapacity", STEP),
        standby=flag(raw, "Standby", STEP),
    )
