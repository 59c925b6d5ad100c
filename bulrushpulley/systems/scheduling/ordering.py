"""Sends orders to agents, numbered so that lost ones are noticed."""

from __future__ import annotations

from bulrushpulley.entities.changing import replace
from bulrushpulley.entities.jobs.books import HostBooks, SentOrders
from bulrushpulley.entities.jobs.host import Host
from bulrushpulley.entities.jobs.items import Orders
from bulrushpulley.entities.jobs.runs import RunOrder, RunRef
from bulrushpulley.entities.jobs.scheduler_tables import SchedulerStep, SchedulerTables
from bulrushpulley.entities.jobs.task import Task, step_key
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.step import Step
from bulrushpulley.systems.scheduling import advising


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


def run_order_for(tables: SchedulerTables, task: Task) -> RunOrder:
    """Return the order to start or keep the current run of a task."""
    job = tables.jobs.by_key[task.job_id]
    spec = job.step(task.step)
    return RunOrder(
        task_id=task.task_id,
        run=task.run,
        payload=job.row.spec.payload,
        committed=spec.committed,
        checkpoint=task.checkpoint,
        target_ms=spec.latency_target_ms,
        image=spec.image,
        disturbs=bool(spec.image) and not spec.serves,
        ticket=_advice_ticket(tables, task),
    )


def _advice_ticket(tables: SchedulerTables, task: Task) -> str:
    advice = tables.advice.get(step_key(task.job_id, task.occurrence, task.step))
    host = tables.hosts.get(task.host)
    if advice is None or host is None:
        return ""
    return advice.ticket_by_server.get(advising.server_of(host), "")
