"""Stores the address of this agent, so that owners of the shard can dial it."""

from __future__ import annotations

from dataclasses import dataclass

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.job_agent_tables import (
    JOB_AGENT,
    JobAgentStep,
    JobAgentTables,
)
from bulrushpulley.entities.jobs.rows import HostRow
from bulrushpulley.entities.jobs.store import Purpose, Transact, Transacted
from bulrushpulley.entities.step import Step

REGISTER_TIMEOUT_S = 1.5
REGISTER_RETRY_DELAY_S = 0.4


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisterHost(Purpose):
    """Writes the row of this host."""


def run(tables: JobAgentTables, now: float) -> JobAgentStep:
    """Write the row once, with retries until the store has confirmed it."""
    waits = tables.registered or tables.registering or now < tables.register_retry_at
    if waits:
        return Step(tables=tables)
    row = HostRow(
        host=tables.host,
        address=tables.address,
        failure_domain=tables.failure_domain,
        region=tables.region,
    )
    call = Transact(
        role=JOB_AGENT,
        purpose=RegisterHost(),
        timeout_s=REGISTER_TIMEOUT_S,
        conditions=(),
        puts=(row,),
    )
    return Step(tables=replace(tables, registering=True), commands=(call,))


def handle_registration_answer(
    event: object, tables: JobAgentTables, now: float
) -> JobAgentStep:
    """Record that the row is stored, or schedule a retry."""
    done = isinstance(event, Transacted)
    return Step(
        tables=replace(
            tables,
            registering=False,
            registered=done,
            register_retry_at=now + REGISTER_RETRY_DELAY_S,
        )
    )
