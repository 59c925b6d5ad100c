"""Sends orders to agents, numbered so that lost ones are noticed."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.books import HostBooks, SentOrders
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.items import Orders
from bulrushpulley.entities.jobs.runs import RunOrder, RunRef
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.step import Step


def send(
    tables: SchedulerTables,
    host: Host,
    life: str,
    *,
    start: tuple[RunOrder, ...] = (),
    stop: tuple[RunRef, ...] = (),
    complete: bool = False,
) -> SchedulerStep:
    """Send the next item of orders of the current adoption to the agent of a host."""
    known = books_of(tables, host.name)
    number = known.orders + 1
    entry = SentOrders(
        number=number,
        started=tuple(order.key for order in start),
        stopped=tuple(ref.key for ref in stop),
        complete=complete,
    )
    sent = replace(known, orders=number, unhandled=(*known.unhandled, entry))
    item = Orders(
        epoch=tables.epoch,
        life=life,
        start=start,
        stop=stop,
        complete=complete,
        adoption=host.adoptions,
        number=number,
    )
    command = Send(peer=host.peer, item=item)
    return Step(tables=put_books(tables, sent), commands=(command,))


def books_of(tables: SchedulerTables, host: str) -> HostBooks:
    """Return what is compared with the books of the agent of a host."""
    return tables.books.get(host) or HostBooks(host=host)


def put_books(tables: SchedulerTables, books: HostBooks) -> SchedulerTables:
    """Store what is compared with the books of an agent."""
    return replace(tables, books=tables.books.put(books.host, books))
