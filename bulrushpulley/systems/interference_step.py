"""One step of learning how jobs slow services, shared by all roles that measure it.

A latency is modelled as the service's own plus, for each job on its host, the harm of
one unit of that job times the units of it that run there. A sample corrects the
estimates by one step of a Kalman filter with independent states: the least certain
estimate takes most of the error, so a job that has long done no harm is not blamed
for one that has just arrived.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.interference import Harm

# Variances are relative to that of an initial estimate, which is 1. A single sample
# has half that variance; the drift makes an estimate uncertain again within minutes.
NOISE_VARIANCE = 0.5
DRIFT_VARIANCE = 0.002


def correct_estimates(
    harms: Sequence[Harm],
    units_by_job: Mapping[str, float],
    sample_ms: float,
    now: float,
) -> list[Harm]:
    """Return the estimates corrected by one sample of their combined latency."""
    expected_ms = sum(harm.estimate_ms * units_by_job[harm.job] for harm in harms)
    expected_variance = sum(
        harm.variance * units_by_job[harm.job] ** 2 for harm in harms
    )
    error_ms = sample_ms - expected_ms
    after: list[Harm] = []
    for harm in harms:
        units = units_by_job[harm.job]
        gain = harm.variance * units / (expected_variance + NOISE_VARIANCE)
        after.append(
            replace(
                harm,
                estimate_ms=max(0.0, harm.estimate_ms + gain * error_ms),
                variance=harm.variance * (1.0 - gain * units) + DRIFT_VARIANCE,
                at=now,
            )
        )
    return after
