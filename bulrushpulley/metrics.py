"""Counters and latency histograms by name and label, and their text form.

The text has one line for each counter and for each percentile::

    route_dispatched{label="oven-conductor"} 41
    route_latency_seconds{label="oven-conductor",quantile="0.99"} 0.0131

A histogram is created with its first value. The numbers of counters and histograms
are bounded, so that many different labels cannot exhaust memory; beyond the bounds,
values with new labels are recorded under the label ``other``.
"""

from __future__ import annotations

import threading

from hdrh.histogram import HdrHistogram

from bulrushpulley.entities.observe import Count, Observe

MIN_VALUE_US = 1
MAX_VALUE_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MAX_COUNTERS = 4_096
MAX_HISTOGRAMS = 512
OTHER_LABEL = "other"


class Metrics:
    """The metrics of one process; every method may be called from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._count_by_key: dict[tuple[str, str], int] = {}
        self._histogram_by_key: dict[tuple[str, str], HdrHistogram] = {}

    def count(self, command: Count) -> None:
        """Add to a counter."""
        key = (command.name, command.label)
        with self._lock:
            if key not in self._count_by_key and self._are_counters_full():
                key = (command.name, OTHER_LABEL)
            self._count_by_key[key] = self._count_by_key.get(key, 0) + command.by

    def _are_counters_full(self) -> bool:
        return len(self._count_by_key) >= MAX_COUNTERS

    def observe(self, command: Observe) -> None:
        """Record a duration."""
        value = min(max(int(command.seconds * 1e6), MIN_VALUE_US), MAX_VALUE_US)
        with self._lock:
            histogram = self._histogram((command.name, command.label))
            histogram.record_value(value)

    def _histogram(self, key: tuple[str, str]) -> HdrHistogram:
        existing = self._histogram_by_key.get(key)
        if existing is not None:
            return existing
        if len(self._histogram_by_key) >= MAX_HISTOGRAMS:
            key = (key[0], OTHER_LABEL)
        created = self._histogram_by_key.get(key) or HdrHistogram(
            MIN_VALUE_US, MAX_VALUE_US, SIGNIFICANT_DIGITS
        )
        self._histogram_by_key[key] = created
        return created

    def counter_value(self, name: str, label: str = "") -> int:
        """Return the value of a counter."""
        with self._lock:
            return self._count_by_key.get((name, label), 0)

    def text(self) -> str:
        """Return every counter and histogram as text."""
        with self._lock:
            lines = [
                f"{_metric_name(name)}{{label={_quoted(label)}}} {value}"
                for (name, label), value in sorted(self._count_by_key.items())
            ]
            for (name, label), histogram in sorted(self._histogram_by_key.items()):
                lines.extend(_histogram_lines(name, label, histogram))
        return "\n".join(lines) + "\n"


def _metric_name(name: str) -> str:
    return name.replace(".", "_")


def _quoted(label: str) -> str:
    escaped = label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return f'"{escaped}"'


def _histogram_lines(name: str, label: str, histogram: HdrHistogram) -> list[str]:
    quoted = _quoted(label)
    name = _metric_name(name)
    lines = []
    for percentile in PERCENTILES:
        seconds = histogram.get_value_at_percentile(percentile) / 1e6
        labels = f'label={quoted},quantile="{percentile / 100:g}"'
        lines.append(f"{name}_seconds{{{labels}}} {seconds:g}")
    total = histogram.get_total_count()
    lines.append(f"{name}_seconds_count{{label={quoted}}} {total}")
    return lines
