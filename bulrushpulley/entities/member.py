"""The entry processes, as read from the table service."""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.link import EntryAddress
from bulrushpulley.entities.rows import MemberRow

MEMBER_EXPIRY_S = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A member row and how long successful reads have found it unchanged."""

    row: MemberRow
    version: int
    unchanged_s: float = 0.0

    @property
    def live(self) -> bool:
        """Whether the entry still counts as running."""
        return self.unchanged_s < MEMBER_EXPIRY_S


def member_key(name: str) -> str:
    """Return the key of an entry's member row."""
    return f"member/{name}"


def address_of(row: MemberRow) -> EntryAddress:
    """Return the address at which the entry of a member row accepts links."""
    return EntryAddress(
        name=row.name,
        incarnation=row.incarnation,
        host=row.host,
        port=row.port,
        region=row.region,
    )
