"""Writes where this agent takes links, so that owners of the shard can dial it."""

from __future__ import annotations

from dataclasses import dataclass, replace

from bulrushpulley.entities.jobs.keeper_tables import KEEPER, KeeperStep, KeeperTables
from bulrushpulley.entities.jobs.rows import HostRow
from bulrushpulley.entities.jobs.store import Purpose, Transact, Transacted
from bulrushpulley.entities.step import Step

CALL_S = 1.5
RETRY_S = 0.4


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisterHost(Purpose):
    """Writes the row of this host."""


def run(tables: KeeperTables, now: float) -> KeeperStep:
    """Write the row once; a store that does not answer is asked again."""
    waits = tables.registered or tables.registering or now < tables.register_at
    if waits:
        return Step(tables=tables)
    row = HostRow(
        host=tables.host,
        address=tables.address,
        failure_domain=tables.failure_domain,
        region=tables.region,
    )
    call = Transact(
        role=KEEPER,
        purpose=RegisterHost(),
        timeout_s=CALL_S,
        conditions=(),
        puts=(row,),
    )
    return Step(tables=replace(tables, registering=True), commands=(call,))


def on_answer(event: object, tables: KeeperTables, now: float) -> KeeperStep:
    """Note that the row stands, or try again."""
    done = isinstance(event, Transacted)
    return Step(
        tables=replace(
            tables, registering=False, registered=done, register_at=now + RETRY_S
        )
    )
