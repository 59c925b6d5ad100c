"""The committer's requests to the table service and their results.

A transaction belongs to a lane of its process. Besides the writes of its submissions
it moves the lane's fence, a row that no one else writes, so the fence shows for
certain which of the lane's transactions was the last to commit.
"""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.commit import Condition, VersionedRow
from bulrushpulley.entities.rows import DurableRow
from bulrushpulley.entities.step import Command, Event


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenWrite:
    """Puts `row` with the token of its submission; None deletes."""

    key: str
    row: DurableRow | None
    token: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Fence:
    """A lane's fence: its key, its version and the transaction that moved it last."""

    key: str
    version: int
    token: str = ""


@dataclass(frozen=True, kw_only=True, slots=True)
class Transact(Command):
    """Sends a transaction; the result is exactly one `TransactionEnded`.

    It takes effect only if the fence has version `fence.version`, and then the fence
    gets `transaction_id` as its token.
    """

    lane: str
    transaction_id: str
    conditions: tuple[Condition, ...]
    writes: tuple[TokenWrite, ...]
    fence: Fence
    timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionEnded(Event):
    """Base class for the results of a request to commit."""

    lane: str
    transaction_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionCommitted(TransactionEnded):
    """The transaction took effect as commit number `revision`."""

    revision: int
    sent_bytes: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionConflicted(TransactionEnded):
    """This request had no effect; the conditions on `rows` and `fence` failed.

    `fence` is None if it had the expected version. An earlier request with the same
    transaction may have taken effect; the fence shows whether it did.
    """

    rows: tuple[VersionedRow, ...]
    fence: Fence | None


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionRefused(TransactionEnded):
    """This request certainly had no effect and will have none."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionRejected(TransactionEnded):
    """The store will never accept this content; the request had no effect."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TransactionLost(TransactionEnded):
    """No answer came; the request may have taken effect or may yet do so."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadRows(Command):
    """Reads all rows of a prefix; the result is `RowsRead` or `ReadFailed`."""

    read_id: str
    prefix: str
    since: int
    timeout_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class RowsRead(Event):
    """The rows under a prefix, complete up to `revision`."""

    read_id: str
    revision: int
    rows: tuple[VersionedRow, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadFailed(Event):
    """The prefix could not be read."""

    read_id: str
    reason: str
