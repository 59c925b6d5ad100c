"""Offers cells for which no owner sends summaries to agents of their region.

Agents of other failure domains are preferred, then those that send summaries for
the fewest cells. A rendezvous hash breaks ties, so that all entries offer a cell
to the same agent. An offer that is not accepted is repeated to the next agent
after a growing delay.
"""

from __future__ import annotations

from zlib import crc32

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.controller_tables import (
    AgentLink,
    CellOffer,
    ControllerTables,
)
from bulrushpulley.entities.link import Offer, Send
from bulrushpulley.entities.observe import Count, Decision
from bulrushpulley.entities.records import CellRecord, FailureDomainRecord
from bulrushpulley.entities.step import Command, Step
from bulrushpulley.systems.control.events import ControllerStep
from bulrushpulley.systems.control.records import find_record

SUMMARY_TIMEOUT_S = 8.0
FIRST_OFFER_DELAY_S = 1.0
OFFER_CHECK_INTERVAL_S = 1.0
MIN_OFFER_RETRY_DELAY_S = 3.0
MAX_OFFER_RETRY_DELAY_S = 30.0
OFFER_BACKOFF_FACTOR = 1.5


def run(tables: ControllerTables, now: float) -> ControllerStep:
    """Offer every cell without recent summaries whose next offer is due."""
    if tables.leaving or now < tables.next_offers_at or not tables.links:
        return Step(tables=tables)
    tables = replace(tables, next_offers_at=now + OFFER_CHECK_INTERVAL_S)
    unowned = _cells_without_summaries(tables, now)
    if not unowned:
        return Step(tables=tables)
    commands: list[Command] = []
    cells_by_peer = _cells_by_peer(tables)
    for cell in unowned:
        step = _offer_cell(tables, cell, cells_by_peer, now)
        tables = step.tables
        commands.extend(step.commands)
    return Step(tables=tables, commands=tuple(commands))


def _cells_by_peer(tables: ControllerTables) -> dict[str, int]:
    return {peer: tables.cells.count_where("peer", peer) for peer in tables.links}


def _cells_without_summaries(tables: ControllerTables, now: float) -> list[str]:
    linked = set(tables.links)
    view_by_cell = tables.cells.by_key
    fresh_after = now - SUMMARY_TIMEOUT_S
    unowned: list[str] = []
    for names in tables.fleet.cells_by_domain.values():
        for cell in names:
            view = view_by_cell.get(cell)
            if (
                view is None
                or view.last_summary_at <= fresh_after
                or view.peer not in linked
            ):
                unowned.append(cell)
    return unowned


def _offer_cell(
    tables: ControllerTables, cell: str, cells_by_peer: dict[str, int], now: float
) -> ControllerStep:
    offer = tables.offers.get(cell)
    if offer is None:
        first = CellOffer(
            cell=cell, next_at=now + FIRST_OFFER_DELAY_S, retry_delay_s=0.0
        )
        return Step(tables=replace(tables, offers=tables.offers.put(cell, first)))
    if now < offer.next_at:
        return Step(tables=tables)
    chosen = _next_agent(tables, offer, cells_by_peer)
    if chosen is None:
        return Step(tables=tables)
    cells_by_peer[chosen.peer] += 1
    tried = () if chosen.peer in offer.tried else offer.tried
    delay_s = min(
        MAX_OFFER_RETRY_DELAY_S,
        max(MIN_OFFER_RETRY_DELAY_S, offer.retry_delay_s * OFFER_BACKOFF_FACTOR),
    )
    updated = CellOffer(
        cell=cell,
        next_at=now + delay_s,
        retry_delay_s=delay_s,
        tried=(*tried, chosen.peer),
    )
    tables = replace(tables, offers=tables.offers.put(cell, updated))
    return Step(tables=tables, commands=_commands(cell, chosen, offer))


def _commands(cell: str, chosen: AgentLink, offer: CellOffer) -> tuple[Command, ...]:
    decision = Decision(
        kind="cell.offer",
        subject=cell,
        chosen=chosen.peer,
        reason="no owner sends summaries",
        passed_over=offer.tried,
    )
    send = Send(peer=chosen.peer, item=Offer(cell=cell))
    return (send, decision, Count(name="cells_offered", label=cell))


def _next_agent(
    tables: ControllerTables, offer: CellOffer, cells_by_peer: dict[str, int]
) -> AgentLink | None:
    record = find_record(tables, "cell", offer.cell, CellRecord)
    if record is None:
        return None
    domain = find_record(
        tables, "failure_domain", record.failure_domain, FailureDomainRecord
    )
    eligible = [
        link
        for link in tables.links.rows()
        if domain is not None
        and link.region == domain.region
        and link.announced is not None
        and not link.announced.leaving
    ]
    untried = [link for link in eligible if link.peer not in offer.tried]
    return min(
        untried or eligible,
        key=lambda link: _preference(link, record, cells_by_peer),
        default=None,
    )


def _preference(
    link: AgentLink, record: CellRecord, cells_by_peer: dict[str, int]
) -> tuple[bool, int, int]:
    announced = link.announced
    same_domain = (
        announced is not None and announced.failure_domain == record.failure_domain
    )
    agent = announced.agent if announced is not None else link.peer
    weight = crc32(f"{record.name}|{agent}".encode())
    return (same_domain, cells_by_peer[link.peer], weight)
