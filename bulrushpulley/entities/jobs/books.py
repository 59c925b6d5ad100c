"""What owner and agent believe of the runs on a host, in a form that can be compared.

Each message between them is sent once. With each contact the agent sends a summary of
what it holds, so that the owner notices a message that was lost, on the way or by its
receiver, whatever it said.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

DIGEST_BYTES = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class Books:
    """The summary that an agent sends with a contact.

    `adoption` is the one that it is about, and `orders` the number of the last item of
    orders handled. `misses_orders` is set once a later one has arrived. `runs` is the
    digest of the runs that the owner has ordered, and empty while the agent has not got
    all orders or the list of its backend server. `host` is the digest of the last
    report of the host. The agent has held the first of its `ends` unacknowledged ends,
    with number `first_end`, for `oldest_end_s`. `verdicts` is the number of the last
    verdicts on harm that arrived.
    """

    adoption: int
    orders: int = 0
    misses_orders: bool = False
    runs: bytes = b""
    host: bytes = b""
    ends: int = 0
    oldest_end_s: float = 0.0
    first_end: int = 0
    verdicts: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class SentOrders:
    """The keys of the runs that an item of orders starts and stops.

    A `complete` one may concern other runs as well.
    """

    number: int
    started: tuple[str, ...] = ()
    stopped: tuple[str, ...] = ()
    complete: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class HostBooks:
    """What the owner compares with the books of one agent.

    It has sent `orders` items of orders in the current adoption, and `due_orders` of
    them by `due_at`. Those that no contact has said to be handled are in `unhandled`,
    the first one first. `verdicts` counts the verdicts on harm, of which the last were
    sent at `verdicts_sent_at`. `report` is the digest of the last report of the host.
    The books have differed since `differ_since`, in `difference`, or agreed at the last
    comparison if that is None; `first_end` is the end that was not acknowledged then,
    if they differ in that. Because of a difference the agent has been adopted again
    `adoptions` times, and the next time is not before `adopt_at`.
    """

    host: str
    orders: int = 0
    due_orders: int = 0
    due_at: float = 0.0
    unhandled: tuple[SentOrders, ...] = ()
    report: bytes = b""
    verdicts: int = 0
    verdicts_sent_at: float = 0.0
    differ_since: float | None = None
    difference: str = ""
    first_end: int = 0
    adoptions: int = 0
    adopt_at: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Slice:
    """The keys of a table that one check is about; `is_last` if none follow them."""

    keys: tuple[str, ...] = ()
    is_last: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class RederivingState:
    """What the last check of what the owner derives, at `checked_at`, was about."""

    checked_at: float = 0.0
    jobs: Slice = Slice()
    hosts: Slice = Slice()


def digest_of(texts: Iterable[str]) -> bytes:
    """Return the digest of texts in their order."""
    data = "\n".join(texts).encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def digest_of_runs(kept: Iterable[str], stopped: Iterable[str]) -> bytes:
    """Return the digest of the keys of runs that are to be kept and to be stopped."""
    return digest_of((*sorted(kept), "", *sorted(stopped)))
