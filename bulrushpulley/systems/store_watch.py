"""The state transitions of a watch on a table of the store."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.store import Purpose, RecheckState, Watch, WatchState

# The store answers a watch after this time even without changes, so that a dead
# connection is detected. It must be well below the 2.5 s within which a change has to
# be in force.
WATCH_WAIT_S = 1.0
WATCH_ANSWER_TIMEOUT_S = 0.7
WATCH_RETRY_DELAY_S = 0.3
# A store that has not answered a watch for longer is taken for unreachable: a
# submission sent to it would most likely end with an unknown outcome.
STORE_UNREACHABLE_TIMEOUT_S = 1.6
# Each call of the store is priced; a missed job must be placed well within 3 s.
RECHECK_INTERVAL_S = 1.5


def due(state: WatchState, now: float) -> bool:
    """Return whether the next call of a watch is due."""
    return not state.in_flight and now >= state.retry_at


def call(
    state: WatchState,
    *,
    role: str,
    purpose: Purpose,
    table: str,
    max_wait_s: float = WATCH_WAIT_S,
) -> Watch:
    """Return the next call of a watch.

    After a failure it does not wait for changes, so that an early answer shows
    that the store is available again.
    """
    wait_s = 0.0 if state.failed else max_wait_s
    return Watch(
        role=role,
        purpose=purpose,
        timeout_s=wait_s + WATCH_ANSWER_TIMEOUT_S,
        table=table,
        after=state.after,
        wait_s=wait_s,
    )


def with_call_sent(state: WatchState, sent: Watch, now: float) -> WatchState:
    """Return the state while a call is in flight."""
    return replace(state, in_flight=True, sent_at=now, wait_s=sent.wait_s)


def unchanged_until(state: WatchState, now: float) -> float:
    """Return until when an answer without rows shows that nothing has changed.

    The store answers so once the wait of the call is over, which began after the call
    was sent.
    """
    waited_s = state.wait_s if now - state.sent_at >= state.wait_s else 0.0
    return state.sent_at + waited_s


def with_changes_read(state: WatchState, version: int) -> WatchState:
    """Return the state after changes up to `version` have been read."""
    after = max(state.after, version)
    return replace(state, in_flight=False, after=after, failed=False)


def with_failed_call(state: WatchState, now: float) -> WatchState:
    """Return the state after a call without answer."""
    return replace(
        state, in_flight=False, failed=True, retry_at=now + WATCH_RETRY_DELAY_S
    )


def with_table_read(state: RecheckState | None, version: int) -> RecheckState | None:
    """Return the state after all rows were read, as of `version`.

    Changes up to that version need no second read.
    """
    if state is None:
        return None
    return replace(state, after=max(state.after, version))
