"""Measures how long the store takes for transactions before an owner is replaced.

An owner row that does not change may mean that its owner is lost, or that the
transactions of its part are slow or refused while reads are answered. A claim beside a
slow store would only delay the owner's transactions further. So a follower first sends
a transaction that conflicts, and claims once that is answered, unless it took so long
that the owner's next renewal may still be under way.
"""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.rows import OWNER_KEY, OwnerRow
from bulrushpulley.entities.jobs.scheduler_tables import (
    SCHEDULER,
    Following,
    ProbeWrites,
)
from bulrushpulley.entities.jobs.store import Condition, Transact
from bulrushpulley.systems import store_timeouts

# The version of a row that is absent, so the condition fails while there is an owner.
ABSENT = 0
# An answer that is lost delays a takeover by this time, and the next one by twice as
# long. Probes of a slow store take their turn with the owner's transactions.
FIRST_TIMEOUT_S = 0.4


def is_due(following: Following, now: float) -> bool:
    """Return whether no probe tells of the store and the last one is given up."""
    probe = following.write_probe
    if probe.in_flight or probe.took_s is not None:
        return False
    if not probe.failures:
        return True
    return now - probe.sent_at >= _timeout_s(probe.failures - 1)


def _timeout_s(failures: int) -> float:
    """Return the timeout of the probe that follows so many without an answer."""
    timeout_s = FIRST_TIMEOUT_S
    for _ in range(failures):
        timeout_s = store_timeouts.next_timeout_s(timeout_s)
    return timeout_s


def sent(following: Following, now: float) -> tuple[Following, Transact]:
    """Return a transaction that conflicts, and the state once it is sent.

    If the row has been removed meanwhile, the transaction writes one without owner.
    """
    probe = following.write_probe
    unowned = OwnerRow(
        holder="", incarnation="", epoch=following.last_epoch, sequence=0
    )
    call = Transact(
        role=SCHEDULER,
        purpose=ProbeWrites(sent_at=now),
        timeout_s=_timeout_s(probe.failures),
        conditions=(Condition(key=OWNER_KEY, version=ABSENT),),
        puts=(unowned,),
    )
    probe = replace(probe, in_flight=True, sent_at=now)
    return replace(following, write_probe=probe), call


def answered(following: Following, purpose: ProbeWrites, now: float) -> Following:
    """Record how long a transaction took that was sent while the row was unchanged."""
    probe = following.write_probe
    if not probe.in_flight or purpose.sent_at != probe.sent_at:
        return following
    # An answer that comes after its timeout has waited for this process, not the store.
    if now - purpose.sent_at > _timeout_s(probe.failures):
        return unanswered(following, purpose)
    is_current = purpose.sent_at >= following.unchanged_since
    took_s = now - purpose.sent_at if is_current else None
    probe = replace(probe, in_flight=False, took_s=took_s, failures=0)
    return replace(following, write_probe=probe)


def unanswered(following: Following, purpose: ProbeWrites) -> Following:
    """Record that a transaction was refused or had no answer in time."""
    probe = following.write_probe
    if not probe.in_flight or purpose.sent_at != probe.sent_at:
        return following
    probe = replace(probe, in_flight=False, failures=probe.failures + 1)
    return replace(following, write_probe=probe)
