"""One step of learning who slows whom, shared by every role that measures it.

A latency is modelled as the service's own plus, for each job beside it, the harm of
one unit of that job times how much of it runs there. A sample corrects the estimates
by the step of a Kalman filter with independent states: what is least sure takes most
of the error, so a job that long did no harm is not blamed for one that has just come.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace

from bulrushpulley.entities.interference import Harm

# Variances are relative to that of a first guess, which is 1. A single sample is
# about half as sure as a first guess is not, and what is known fades within minutes.
NOISE_VARIANCE = 0.5
DRIFT_VARIANCE = 0.002


def corrected(
    harms: Sequence[Harm],
    units_by_job: Mapping[str, float],
    sample_ms: float,
    now: float,
) -> list[Harm]:
    """Return the estimates after one sample of the latency that they add up to."""
    expected = sum(harm.estimate_ms * units_by_job[harm.job] for harm in harms)
    spread = sum(harm.variance * units_by_job[harm.job] ** 2 for harm in harms)
    error_ms = sample_ms - expected
    after: list[Harm] = []
    for harm in harms:
        units = units_by_job[harm.job]
        gain = harm.variance * units / (spread + NOISE_VARIANCE)
        after.append(
            replace(
                harm,
                estimate_ms=max(0.0, harm.estimate_ms + gain * error_ms),
                variance=harm.variance * (1.0 - gain * units) + DRIFT_VARIANCE,
                at=now,
            )
        )
    return after
