"""Decides with hysteresis if a service is degraded, so that noise causes no flapping.

A service becomes degraded after several consecutive samples above its target, and
recovers after several below a lower bound. Either state lasts for a minimum dwell
time.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.interference import ServiceLatency

DEGRADED_LATENCY_RATIO = 1.0
RECOVERED_LATENCY_RATIO = 0.85
MIN_SAMPLES_ABOVE = 3
MIN_SAMPLES_BELOW = 5
MIN_DWELL_S = 15.0


def update_degraded(latency: ServiceLatency, now: float) -> ServiceLatency:
    """Count the latest sample, and change the state after the dwell time if due."""
    ratio = latency.smoothed_ms / latency.target_ms
    above = latency.above + 1 if ratio > DEGRADED_LATENCY_RATIO else 0
    below = latency.below + 1 if ratio < RECOVERED_LATENCY_RATIO else 0
    counted = replace(latency, above=above, below=below)
    if now - latency.changed_at < MIN_DWELL_S:
        return counted
    if not latency.degraded and above >= MIN_SAMPLES_ABOVE:
        return replace(counted, degraded=True, changed_at=now)
    if latency.degraded and below >= MIN_SAMPLES_BELOW:
        return replace(counted, degraded=False, changed_at=now)
    return counted
