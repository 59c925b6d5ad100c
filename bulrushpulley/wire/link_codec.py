"""Encodes the items of a link as protobuf messages and decodes them.

`encode_item` varies by `singledispatch`; decoding varies by the name of the
oneof field. Items whose message has the same fields, all of plain types, are listed
in `_PLAIN_ITEM_BY_NAME` and need no functions of their own. Durable rows are encoded
as in the table service.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, fields
from functools import partial, singledispatch
from typing import Any

from google.protobuf.message import Message

from bulrushpulley.entities import commit, link
from bulrushpulley.entities.jobs.items import JobItem
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Event
from bulrushpulley.errors import BulrushpulleyError, Code, Problem, Ran
from bulrushpulley.wire import link_pb2 as pb
from bulrushpulley.wire.decoding import DECODING_ERRORS
from bulrushpulley.wire.job_items import decode_job_item, encode_job_item
from bulrushpulley.wire.rows import decode_row, encode_row

STEP = "link.decode"


@dataclass(frozen=True, kw_only=True, slots=True)
class PlainItem:
    """An item whose fields, except `peer`, are those of its message."""

    event_class: type[Event]
    message_class: type[Message]
    field_names: tuple[str, ...]


def _plain_item(event_class: type[Event], message_class: type[Message]) -> PlainItem:
    field_names = tuple(
        field.name for field in fields(event_class) if field.name != "peer"
    )
    return PlainItem(
        event_class=event_class, message_class=message_class, field_names=field_names
    )


_PLAIN_ITEM_BY_NAME: Mapping[str, PlainItem] = {
    "announce": _plain_item(link.Announce, pb.Announce),
    "dispatch": _plain_item(link.Dispatch, pb.Dispatch),
    "recall": _plain_item(link.Recall, pb.Recall),
    "abandon": _plain_item(link.Abandon, pb.Abandon),
    "answered": _plain_item(link.Answered, pb.Answered),
    "fetch": _plain_item(link.Fetch, pb.Fetch),
    "offer": _plain_item(link.Offer, pb.Offer),
    "job_cancelled": _plain_item(link.JobCancelled, pb.JobCancelled),
    "committed": _plain_item(commit.Committed, pb.Committed),
    "withdrawn": _plain_item(commit.Withdrawn, pb.Withdrawn),
    "unsettled": _plain_item(commit.Unsettled, pb.Unsettled),
}


@singledispatch
def encode_item(item: Event) -> pb.Item:
    """Encode one item; an unregistered kind is a programming error."""
    raise NotImplementedError(f"no protobuf message for {type(item).__name__}")


def _encode_plain(item: Event, name: str, plain: PlainItem) -> pb.Item:
    values = {field: getattr(item, field) for field in plain.field_names}
    return pb.Item(**{name: plain.message_class(**values)})  # type: ignore[arg-type]


for _name, _plain in _PLAIN_ITEM_BY_NAME.items():
    encode_item.register(
        _plain.event_class, partial(_encode_plain, name=_name, plain=_plain)
    )


def _encode_resources(amount: Resources) -> pb.Resources:
    return pb.Resources(
        processors_m=amount.processors_m,
        memory_mb=amount.memory_mb,
        accelerators=amount.accelerators,
    )


def _encode_rows(rows: Iterable[commit.VersionedRow]) -> list[pb.VersionedRow]:
    return [
        pb.VersionedRow(
            key=row.key,
            version=row.version,
            row=encode_row(row.row, row.token) if row.row is not None else b"",
            token=row.token,
        )
        for row in rows
    ]


@encode_item.register
def _(item: JobItem) -> pb.Item:
    return pb.Item(job_item=encode_job_item(item))


@encode_item.register
def _(item: link.Refused) -> pb.Item:
    problem = pb.Problem(
        code=item.problem.code.value,
        step=item.problem.step,
        peer=item.problem.peer,
        detail=item.problem.detail,
        field=item.problem.field,
    )
    message = pb.Refused(
        attempt_id=item.attempt_id, ran=item.ran.value, problem=problem
    )
    return pb.Item(refused=message)


@encode_item.register
def _(item: link.CellSummary) -> pb.Item:
    uses = [
        pb.DepartmentUse(
            department=use.department, committed=_encode_resources(use.committed)
        )
        for use in item.uses
    ]
    message = pb.CellSummary(
        cell=item.cell,
        owner=item.owner,
        epoch=item.epoch,
        failure_domain=item.failure_domain,
        region=item.region,
        free=_encode_resources(item.free),
        largest=_encode_resources(item.largest),
        waiting=item.waiting,
        running=item.running,
        uses=uses,
    )
    return pb.Item(cell_summary=message)


@encode_item.register
def _(item: link.Submit) -> pb.Item:
    submission = item.submission
    conditions = [
        pb.Condition(key=condition.key, version=condition.version)
        for condition in submission.conditions
    ]
    writes = [
        pb.Write(
            key=write.key,
            row=encode_row(write.row, submission.submission_id)
            if write.row is not None
            else b"",
        )
        for write in submission.writes
    ]
    message = pb.Submission(
        submission_id=submission.submission_id,
        conditions=conditions,
        writes=writes,
        give_up_after_s=submission.give_up_after_s,
    )
    return pb.Item(submit=message)


@encode_item.register
def _(item: link.Fetched) -> pb.Item:
    message = pb.Fetched(
        fetch_id=item.fetch_id,
        prefix=item.prefix,
        revision=item.revision,
        rows=_encode_rows(item.rows),
        failed=item.failed,
    )
    return pb.Item(fetched=message)


@encode_item.register
def _(item: link.Configured) -> pb.Item:
    message = pb.Configured(
        base=item.base, revision=item.revision, rows=_encode_rows(item.rows)
    )
    return pb.Item(configured=message)


@encode_item.register
def _(item: link.Entries) -> pb.Item:
    entries = [
        pb.EntryAddress(
            name=entry.name,
            incarnation=entry.incarnation,
            host=entry.host,
            port=entry.port,
            region=entry.region,
        )
        for entry in item.entries
    ]
    return pb.Item(entries=pb.Entries(entries=entries))


@encode_item.register
def _(item: link.Assigned) -> pb.Item:
    return pb.Item(assigned=pb.Assigned(cell=item.cell, rows=_encode_rows(item.rows)))


@encode_item.register
def _(item: commit.Conflicted) -> pb.Item:
    message = pb.Conflicted(
        submission_id=item.submission_id, rows=_encode_rows(item.rows)
    )
    return pb.Item(conflicted=message)


def decode_item(item: pb.Item, peer: str) -> Event | None:
    """Decode one item received from `peer`.

    Returns None for a kind that this version does not know, so that newer processes
    can be linked to older ones. Raises `BulrushpulleyError` for a malformed item.
    """
    name = item.WhichOneof("item")
    if name is None:
        return None
    try:
        return _DECODER_BY_NAME[name](getattr(item, name), peer)
    except BulrushpulleyError:
        raise
    except (*DECODING_ERRORS, TypeError) as error:
        problem = Problem(
            code=Code.INVALID, step=STEP, peer=peer, field=name, detail=str(error)
        )
        raise BulrushpulleyError(problem=problem) from error


def _decode_plain(message: Any, peer: str, plain: PlainItem) -> Event:
    values = {name: getattr(message, name) for name in plain.field_names}
    if issubclass(plain.event_class, link.LinkEvent):
        values["peer"] = peer
    return plain.event_class(**values)


def _decode_resources(message: Any) -> Resources:
    return Resources(
        processors_m=message.processors_m,
        memory_mb=message.memory_mb,
        accelerators=message.accelerators,
    )


def _decode_rows(messages: Iterable[Any]) -> tuple[commit.VersionedRow, ...]:
    return tuple(
        commit.VersionedRow(
            key=message.key,
            version=message.version,
            row=decode_row(message.row).row if message.row else None,
            token=message.token,
        )
        for message in messages
    )


def _decode_refused(message: Any, peer: str) -> Event:
    problem = Problem(
        code=Code(message.problem.code),
        step=message.problem.step,
        peer=message.problem.peer,
        detail=message.problem.detail,
        field=message.problem.field,
    )
    return link.Refused(
        peer=peer,
        attempt_id=message.attempt_id,
        ran=Ran(message.ran),
        problem=problem,
    )


def _decode_cell_summary(message: Any, peer: str) -> Event:
    uses = tuple(
        link.DepartmentUse(
            department=use.department, committed=_decode_resources(use.committed)
        )
        for use in message.uses
    )
    return link.CellSummary(
        peer=peer,
        cell=message.cell,
        owner=message.owner,
        epoch=message.epoch,
        failure_domain=message.failure_domain,
        region=message.region,
        free=_decode_resources(message.free),
        largest=_decode_resources(message.largest),
        waiting=message.waiting,
        running=message.running,
        uses=uses,
    )


def _decode_submit(message: Any, peer: str) -> Event:
    submission = commit.Submission(
        submission_id=message.submission_id,
        conditions=tuple(
            commit.Condition(key=condition.key, version=condition.version)
            for condition in message.conditions
        ),
        writes=tuple(
            commit.Write(
                key=write.key,
                row=decode_row(write.row).row if write.row else None,
            )
            for write in message.writes
        ),
        give_up_after_s=message.give_up_after_s,
    )
    return link.Submit(peer=peer, submission=submission)


def _decode_fetched(message: Any, peer: str) -> Event:
    return link.Fetched(
        peer=peer,
        fetch_id=message.fetch_id,
        prefix=message.prefix,
        revision=message.revision,
        rows=_decode_rows(message.rows),
        failed=message.failed,
    )


def _decode_configured(message: Any, peer: str) -> Event:
    return link.Configured(
        peer=peer,
        base=message.base,
        revision=message.revision,
        rows=_decode_rows(message.rows),
    )


def _decode_entries(message: Any, peer: str) -> Event:
    entries = tuple(
        link.EntryAddress(
            name=entry.name,
            incarnation=entry.incarnation,
            host=entry.host,
            port=entry.port,
            region=entry.region,
        )
        for entry in message.entries
    )
    return link.Entries(peer=peer, entries=entries)


def _decode_assigned(message: Any, peer: str) -> Event:
    return link.Assigned(peer=peer, cell=message.cell, rows=_decode_rows(message.rows))


def _decode_conflicted(message: Any, peer: str) -> Event:
    return commit.Conflicted(
        submission_id=message.submission_id, rows=_decode_rows(message.rows)
    )


_DECODER_BY_NAME: Mapping[str, Callable[[Any, str], Event | None]] = {
    "refused": _decode_refused,
    "cell_summary": _decode_cell_summary,
    "submit": _decode_submit,
    "fetched": _decode_fetched,
    "configured": _decode_configured,
    "entries": _decode_entries,
    "assigned": _decode_assigned,
    "conflicted": _decode_conflicted,
    "job_item": decode_job_item,
    **{
        name: partial(_decode_plain, plain=plain)
        for name, plain in _PLAIN_ITEM_BY_NAME.items()
    },
}
