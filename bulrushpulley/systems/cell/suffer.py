"""Judges with hysteresis whether a service suffers, so that noise causes no flapping.

A service suffers after several samples in a row above its target, and is well again
after several below a lower bound. Either state lasts for a minimum dwell time.
"""

from __future__ import annotations

from dataclasses import replace

from bulrushpulley.entities.interference import ServiceLatency

UPPER_BOUND = 1.0
LOWER_BOUND = 0.85
SAMPLES_ABOVE = 3
SAMPLES_BELOW = 5
DWELL_S = 15.0


def judge(latency: ServiceLatency, now: float) -> ServiceLatency:
    """Count the newest sample and change the state if it has held for long enough."""
    part = latency.smoothed_ms / latency.target_ms
    above = latency.above + 1 if part > UPPER_BOUND else 0
    below = latency.below + 1 if part < LOWER_BOUND else 0
    counted = replace(latency, above=above, below=below)
    if now - latency.changed_at < DWELL_S:
        return counted
    if not latency.suffering and above >= SAMPLES_ABOVE:
        return replace(counted, suffering=True, changed_at=now)
    if latency.suffering and below >= SAMPLES_BELOW:
        return replace(counted, suffering=False, changed_at=now)
    return counted
