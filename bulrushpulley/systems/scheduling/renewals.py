"""How often an owner renews its row, and for how long followers wait for the next one.

An owner that is short of processor time, or whose store is slow, renews less often than
it is due to. It writes into its row within what time the next renewal is to be
expected, by the intervals that it has measured, so followers take the shard over soon
from an owner that has renewed quickly, and leave a slow one more time.
"""

from __future__ import annotations

import math

from bulrushpulley.entities.jobs.rows import OwnerRow

# How often an owner with nothing to write renews its row. Beside a slow store it does
# so less often, as renewals take their turn with all other writes to its part.
MIN_RENEW_INTERVAL_S = 0.25
MAX_RENEW_INTERVAL_S = 0.8
# Renewals keep a slow store busy for half of its time.
RENEW_LATENCY_FACTOR = 2.0
# A renewal is due at a tick of the role, and its answer takes some milliseconds.
MIN_RENEWS_WITHIN_S = 0.3
# Bounds for how long a shard is without an owner, whatever a row says.
MAX_RENEWS_WITHIN_S = 2.0
# While a new owner reads the shard, its processor may be busy for longer. The time
# grows with each owner that is replaced before it has renewed its row after that.
CLAIM_RENEWS_WITHIN_S = 0.45
CLAIM_GROWTH_FACTOR = 1.5
# How long a long interval is remembered; its weight falls exponentially.
INTERVAL_MEMORY_S = 10.0
# Followers wait for one and a half of the expected intervals.
MISSED_RENEWAL_FACTOR = 1.5
TAKEOVER_MARGIN_S = 0.2
# A store whose reads are slow delays the renewals of an owner as well.
SLOW_READ_FACTOR = 2.0
# Earlier versions renew each 0.8 s and do not say so in their rows.
EARLIER_VERSION_TAKEOVER_TIMEOUT_S = 2.0
# An entry with less processor time handles a burst of events for longer than this
# module's spans, so they grow with what it lacks, up to a limit.
AMPLE_PROCESSORS = 0.5
MAX_SLOWNESS = 4.0
# How often a follower reads the row while it waits for the next renewal.
READS_PER_TAKEOVER_TIMEOUT = 5


def slowness(processors: float) -> float:
    """Return by what factor an entry is slower than one with ample processor time."""
    return min(MAX_SLOWNESS, max(1.0, AMPLE_PROCESSORS / max(processors, 0.01)))


def renew_interval_s(store_latency_s: float, slowness: float = 1.0) -> float:
    """Return how often an owner with nothing to write renews its row."""
    interval_s = max(
        MIN_RENEW_INTERVAL_S * slowness, RENEW_LATENCY_FACTOR * store_latency_s
    )
    return min(MAX_RENEW_INTERVAL_S, interval_s)


def expected_s(
    renews_within_s: float, store_latency_s: float, slowness: float = 1.0
) -> float:
    """Return within what time the next renewal is to be expected, for the owner row."""
    due_s = renew_interval_s(store_latency_s, slowness) + store_latency_s
    return _within_limits(max(renews_within_s, due_s, MIN_RENEWS_WITHIN_S * slowness))


def takeover_timeout_s(
    row: OwnerRow, read_took_s: float, write_took_s: float = 0.0
) -> float:
    """Return for how long a row has to be unchanged before its owner is replaced.

    `read_took_s` is how long the last read of the row took, and `write_took_s` a
    transaction in its part.
    """
    if row.renews_within_s is None:
        timeout_s = EARLIER_VERSION_TAKEOVER_TIMEOUT_S
    else:
        within_s = expected_s(row.renews_within_s, write_took_s)
        timeout_s = MISSED_RENEWAL_FACTOR * within_s + TAKEOVER_MARGIN_S
    return timeout_s + SLOW_READ_FACTOR * read_took_s


def read_interval_s(row: OwnerRow | None, read_took_s: float) -> float:
    """Return how often a row is to be read to notice in time that it is overdue."""
    if row is None or not row.holder:
        return 0.0
    return takeover_timeout_s(row, read_took_s) / READS_PER_TAKEOVER_TIMEOUT


def claim_renews_within_s(former: OwnerRow | None, slowness: float = 1.0) -> float:
    """Return within what time a new owner expects to renew its row while it loads.

    It grows if the former owner was replaced before it had renewed its row once after
    the load, so that a shard which takes long to read, or whose transactions take long,
    keeps its owner in the end.
    """
    usual_s = _within_limits(CLAIM_RENEWS_WITHIN_S * slowness)
    if former is None or not former.loading or former.renews_within_s is None:
        return usual_s
    former_s = max(CLAIM_RENEWS_WITHIN_S, former.renews_within_s)
    return max(usual_s, _within_limits(CLAIM_GROWTH_FACTOR * former_s))


def loaded_renews_within_s(renews_within_s: float) -> float:
    """Return the expected interval of an owner that has just read the shard.

    What had to grow is kept until a transaction has been answered.
    """
    has_grown = renews_within_s > CLAIM_RENEWS_WITHIN_S
    return renews_within_s if has_grown else MIN_RENEWS_WITHIN_S


def next_renews_within_s(renews_within_s: float, interval_s: float) -> float:
    """Return the expected interval once one of `interval_s` has been measured."""
    remembered_s = renews_within_s * math.exp(-interval_s / INTERVAL_MEMORY_S)
    return _within_limits(max(interval_s, remembered_s))


def _within_limits(within_s: float) -> float:
    return min(MAX_RENEWS_WITHIN_S, max(MIN_RENEWS_WITHIN_S, within_s))
