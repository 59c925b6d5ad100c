"""Tests of the encoding of link items: round trips and malformed input."""

from __future__ import annotations

import testtools

from bulrushpulley.entities import commit, link
from bulrushpulley.entities.jobs import items
from bulrushpulley.entities.jobs.runs import RunEnd, RunStatus
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import ClaimRow, LeaseRow, RevisionRow
from bulrushpulley.entities.step import Event
from bulrushpulley.errors import BulrushpulleyError, Code, Problem, Ran
from bulrushpulley.wire import link_pb2 as pb
from bulrushpulley.wire.link_codec import _DECODER_BY_NAME, decode_item, encode_item

PEER = "agent-1-abc"
SIZE = Resources(processors_m=1_500, memory_mb=-3, accelerators=2)
PROBLEM = Problem(code=Code.OVERLOADED, step="s", peer="p", detail="d", field="f")
CLAIM = ClaimRow(
    service="s", request_id="ö", agent="a", incarnation="i", claimed_at=0.1
)
LEASE = LeaseRow(owner="a", incarnation="a/1", epoch=3, autonomy_s=3600.0)
ROWS = (
    commit.VersionedRow(key="claim/s/ö", version=2**40, row=CLAIM, token="t/1"),
    commit.VersionedRow(key="lease/c", version=7, row=None),
)
SUBMISSION = commit.Submission(
    submission_id="a/1",
    conditions=(commit.Condition(key="lease/c", version=0),),
    writes=(
        commit.Write(key="lease/c", row=LEASE),
        commit.Write(key="revision", row=RevisionRow(revision=1)),
        commit.Write(key="claim/s/ö", row=None),
    ),
    give_up_after_s=2.5,
)
ENTRY = link.EntryAddress(
    name="e", incarnation="e/1", host="10.0.0.1", port=65_535, region="r"
)
ITEMS: dict[str, Event] = {
    "announce": link.Announce(
        peer=PEER,
        agent="a",
        incarnation=PEER,
        service="s",
        region="r",
        failure_domain="f",
        slots=8,
        running=1,
        queued=2,
        healthy=True,
        leaving=False,
        applied_revision=2**40,
    ),
    "dispatch": link.Dispatch(
        peer=PEER,
        attempt_id="e/1",
        request_id="",
        service="s",
        repeatable=True,
        remaining_s=0.25,
        body=b"\x00\xff",
    ),
    "recall": link.Recall(
        peer=PEER, attempt_id="e/2", request_id="r", service="s", remaining_s=1.0
    ),
    "abandon": link.Abandon(peer=PEER, attempt_id="e/2"),
    "answered": link.Answered(
        peer=PEER, attempt_id="e/1", status=207, body=b"", took_s=0.5
    ),
    "refused": link.Refused(
        peer=PEER, attempt_id="e/1", ran=Ran.UNKNOWN, problem=PROBLEM
    ),
    "cell_summary": link.CellSummary(
        peer=PEER,
        cell="c",
        owner="a",
        epoch=4,
        failure_domain="f",
        region="r",
        free=SIZE,
        largest=Resources(),
        waiting=1,
        running=2,
        uses=(link.DepartmentUse(department="d", committed=SIZE),),
    ),
    "submit": link.Submit(peer=PEER, submission=SUBMISSION),
    "fetch": link.Fetch(peer=PEER, fetch_id="f", prefix="task/c/", since=9),
    "fetched": link.Fetched(
        peer=PEER, fetch_id="f", prefix="task/", revision=9, rows=ROWS, failed="x"
    ),
    "configured": link.Configured(peer=PEER, base=0, revision=3, rows=ROWS),
    "entries": link.Entries(peer=PEER, entries=(ENTRY, ENTRY)),
    "assigned": link.Assigned(peer=PEER, cell="c", rows=ROWS),
    "committed": commit.Committed(submission_id="a/1", revision=12),
    "conflicted": commit.Conflicted(submission_id="a/1", rows=ROWS),
    "withdrawn": commit.Withdrawn(submission_id="a/1", reason="late"),
    "unsettled": commit.Unsettled(submission_id="a/1", reason="lost"),
    "offer": link.Offer(peer=PEER, cell="c"),
    "job_cancelled": link.JobCancelled(peer=PEER, job="j"),
    "job_item": items.RunsReport(
        peer=PEER,
        epoch=2,
        life="i-1/5",
        runs=(RunStatus(task_id="j.0.0.1", run=3, checkpoint="c", measure=40),),
        ends=(RunEnd(number=1, task_id="j.0.0.2", run=1, how="done"),),
        complete=True,
    ),
}
MALFORMED: dict[str, pb.Item] = {
    "unknown outcome": pb.Item(refused=pb.Refused(ran="perhaps")),
    "unknown code": pb.Item(refused=pb.Refused(ran="no", problem=pb.Problem(code="?"))),
    "row is not JSON": pb.Item(
        assigned=pb.Assigned(rows=[pb.VersionedRow(key="k", row=b"{")])
    ),
    "job item whose body is not a map": pb.Item(job_item=b"\x92\xa5Adopt\x01"),
    "job item that is not MessagePack": pb.Item(job_item=b"\xc1"),
    "row of unknown kind": pb.Item(
        submit=pb.Submission(
            writes=[pb.Write(key="k", row=b'{"token":"","kind":"x","row":{}}')]
        )
    ),
}


class LinkCodecTest(testtools.TestCase):
    def test_every_kind_of_item_round_trips(self) -> None:
        for name, item in ITEMS.items():
            with self.subTest(name):
                encoded = encode_item(item).SerializeToString()
                self.assertEqual(item, decode_item(pb.Item.FromString(encoded), PEER))

    def test_every_field_of_the_protocol_has_a_case_and_a_decoder(self) -> None:
        names = {field.name for field in pb.Item.DESCRIPTOR.fields}
        self.assertEqual(names, set(ITEMS))
        self.assertEqual(names, set(_DECODER_BY_NAME))

    def test_an_item_of_a_newer_version_is_ignored(self) -> None:
        # Sets field 31, which `Item` does not have.
        newer = pb.Item.FromString(b"\xfa\x01\x02\x08\x01")
        self.assertIsNone(decode_item(newer, PEER))

    def test_a_malformed_item_names_the_step(self) -> None:
        for name, item in MALFORMED.items():
            with self.subTest(name):
                error = self.assertRaises(BulrushpulleyError, decode_item, item, PEER)
                self.assertIn("decode", error.problem.step)
