"""Tests of the encoding of durable rows."""

from __future__ import annotations

import testtools

from bulrushpulley.entities.records import (
    CellRecord,
    FailureDomainRecord,
    JobRecord,
    PolicyRecord,
    Record,
    ServiceRecord,
    WorkerRecord,
)
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import (
    AliveRow,
    BacklogRow,
    ClaimRow,
    DurableRow,
    LeaseRow,
    MemberRow,
    RecordRow,
    RevisionRow,
    TaskClass,
    TaskRow,
    TaskSpec,
    TaskState,
)
from bulrushpulley.errors import BulrushpulleyError
from bulrushpulley.wire.rows import (
    KIND_BY_ROW_CLASS,
    RECORD_DECODER_BY_KIND,
    DecodedRow,
    decode_row,
    encode_row,
)

SIZE = Resources(processors_m=500, memory_mb=64)
SPEC = TaskSpec(
    kind="job",
    record_version=4,
    job="audit",
    index=7,
    department="kalamu",
    task_class=TaskClass.BATCH,
    size=SIZE,
    run_s=60.5,
    failure_domains=("nbo-a", "nbo-b"),
)
WORKER = WorkerRecord(worker_id="w1", url="http://127.0.0.1:1", rack="r", capacity=SIZE)
RECORDS: dict[str, Record] = {
    "service": ServiceRecord(name="s", department="d", replicas=2, size=SIZE),
    "job": JobRecord(name="j", department="d", tasks=3, size=SIZE, run_s=1.5),
    "failure_domain": FailureDomainRecord(name="nbo-a", region="ke-central"),
    "policy": PolicyRecord(name="p", department="d", quota=SIZE),
    "cell": CellRecord(name="c", failure_domain="nbo-a", workers=(WORKER,)),
}
ROWS: tuple[DurableRow, ...] = (
    RevisionRow(revision=3),
    BacklogRow(spec=SPEC, count=9),
    TaskRow(spec=SPEC, state=TaskState.STARTING, generation=2, worker_id="w1"),
    LeaseRow(owner="a", incarnation="a/1", epoch=3, autonomy_s=3600.0),
    LeaseRow(
        owner="", incarnation="", epoch=3, autonomy_s=9.0, former_renewals_for_s=2.5
    ),
    AliveRow(agent="a", incarnation="a/1", renewals=12),
    MemberRow(
        name="e", incarnation="e/1", host="10.0.0.1", port=1, region="r", renewals=1
    ),
    ClaimRow(
        service="s", request_id="ö", agent="a", incarnation="a/1", claimed_at=1.25
    ),
)


def record_row(kind: str, record: Record) -> RecordRow:
    return RecordRow(
        kind=kind, schema_version=1, record=record, author="op", revision=8
    )


class RowsTest(testtools.TestCase):
    def test_every_kind_of_row_and_record_round_trips(self) -> None:
        rows = (*ROWS, *(record_row(kind, RECORDS[kind]) for kind in RECORDS))
        for row in rows:
            decoded = decode_row(encode_row(row, "a/1/7"))
            self.assertEqual(DecodedRow(row=row, token="a/1/7"), decoded)
        self.assertEqual(set(KIND_BY_ROW_CLASS), {type(row) for row in rows})
        self.assertEqual(set(RECORD_DECODER_BY_KIND), set(RECORDS))

    def test_malformed_data_is_refused_with_step_and_peer(self) -> None:
        cases = (
            b"",
            b"{}",
            b'{"token":"t","kind":"nope","row":{}}',
            b'{"token":"t","kind":"revision","row":{"revision":"x"}}',
            encode_row(record_row("unheard-of", RECORDS["job"]), "t"),
        )
        for data in cases:
            error = self.assertRaises(BulrushpulleyError, decode_row, data)
            self.assertEqual("rows.decode", error.problem.step)
