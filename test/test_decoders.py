"""Every decoder of data that another process writes, against malformed data.

A process that ends, or stops following a list, because of one malformed entry meets
the same entry after its restart. Each decoder must therefore return a value or raise a
typed error, in bounded time and memory, whatever the data is.
"""

from __future__ import annotations

import time
import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any

import msgspec
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from bulrushpulley.entities.jobs import items, rows
from bulrushpulley.entities.jobs.books import Books
from bulrushpulley.entities.jobs.executor_calls import PollRuns
from bulrushpulley.entities.jobs.runs import RunEnd, RunRef
from bulrushpulley.entities.jobs.spec import (
    MAX_TASKS,
    SPEC_WITHOUT_STEPS,
    JobSpec,
    StepSpec,
)
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import LeaseRow, RevisionRow
from bulrushpulley.errors import BulrushpulleyError, Problem
from bulrushpulley.operator_client import decode_answer
from bulrushpulley.platform.executor import decode_announcement
from bulrushpulley.platform.fields import decode_object
from bulrushpulley.platform.job_bodies import decode_job
from bulrushpulley.platform.order_rows import decode_order
from bulrushpulley.platform.run_lists import decode_runs
from bulrushpulley.platform.stored_rows import StoredRowDecoder
from bulrushpulley.wire import link_pb2 as pb
from bulrushpulley.wire import records
from bulrushpulley.wire import rows as table_rows
from bulrushpulley.wire.compression import (
    COMPRESSED_PREFIX,
    MAX_DECOMPRESSED_BYTES,
    compress,
    decompress,
)
from bulrushpulley.wire.job_items import decode_job_item, encode_job_item
from bulrushpulley.wire.job_rows import decode_row, encode_row
from bulrushpulley.wire.link_codec import decode_item
from test.test_platform_bodies import ANNOUNCEMENT, CONFIG, JOB

NESTING_DEPTH = 100_000
MAX_DECODING_TIME_S = 2.0
NESTED_JSON = b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH
NESTED_MSGPACK = msgspec.Raw(b"\x91" * NESTING_DEPTH + b"\xc0")
# Replaced by deeply nested data after encoding.
NESTED_MARKER = "deeply nested"
# Replaced by an integer that does not fit into a float.
HUGE_MARKER = "huge number"
HUGE_JSON = b"1" * 400
ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0.5,
    2**63,
    -(2**63),
    1e300,
    "",
    "x" * 70_000,
    "\u0000",
    [],
    {},
    [[]],
    [None],
    [{"a": [1]}],
    {"Count": {}},
    NESTED_MARKER,
    HUGE_MARKER,
)
POLL = PollRuns(
    server_id="i-1",
    address="10.0.0.9:80",
    timeout_s=1.0,
    fencing_token=1,
    noted=0,
    wait_ms=0,
    lease_until_ms=None,
)
RUNS = (
    b'{"born":1770570211410,"ClockMs":12,"Running":[["a.0.0.1",2,"cp",41,7]],'
    b'"Finished":[[58,"a.0.0.2",1,"done",""]]}'
)
WAVE = b'{"MaintenanceWave":3,"Machines":["m-1"],"DurationS":60,"MaxCount":2}'
JOB_ID = "5c0e7a21d94b36f8"
SPEC = JobSpec(
    payload="p",
    steps=(
        StepSpec(count=2, size=Resources(processors_m=500), image="i"),
        StepSpec(count=1, size=Resources(memory_mb=64), after=(0,)),
    ),
)
JOB_ROW = rows.JobRow(
    job_id=JOB_ID,
    queue="q",
    service="s",
    priority=0,
    max_attempts=3,
    latency_factor=1.5,
    target_latency_s=0.4,
    accepted_at_s=1e9,
    spec=SPEC,
)
ROWS: tuple[rows.Row, ...] = (
    rows.OwnerRow(holder="e", incarnation="e-1", epoch=3, sequence=4),
    JOB_ROW,
    rows.ended_row(JOB_ROW),
    rows.CancelRow(job_id=JOB_ID),
    rows.ProgressRow(
        job_id=JOB_ID,
        state=rows.JobState.RUNNING,
        tasks=(rows.TaskProgress(occurrence=0, step=0, index=1, run=2, host="h"),),
    ),
    rows.HostRow(
        host="h",
        address="10.0.0.9:80",
        failure_domain="z",
        region="r",
        life="i-1/1",
        ends=(
            RunEnd(
                number=1,
                task_id="a.0.0.1",
                run=2,
                how="done",
                checkpoint="c",
                age_s=0.5,
            ),
        ),
        epoch=3,
        adoption=2,
        runs=(RunRef(task_id="a.0.0.2", run=1),),
    ),
    rows.BacklogRow(waiting=(("q", 3),)),
    rows.WaveRow(number=3, ordered=("m-1",)),
    rows.HarmsRow(
        estimates=(
            rows.HarmEstimate(serving="a", filling="b", estimate_ms=-1.5, variance=2.0),
        ),
        target_by_image=(("a", 9.0),),
    ),
)
HOST_ROW = rows.HostRow(host="h", address="10.0.0.9:80", failure_domain="z", region="r")
LEASE_ROW = LeaseRow(
    owner="a",
    incarnation="a-1",
    epoch=3,
    autonomy_s=9.0,
    former_renewals_for_s=2.5,
    alive_renewals=4,
)
ITEM = items.Contact(
    epoch=3, sent_at=4.5, books=Books(adoption=1, orders=2, runs=b"12345678")
)
ORDERS = items.Orders(epoch=3, life="i-1/5", stop=(RunRef(task_id="t", run=1),))


def ignore(problem: Problem) -> None:
    """Drop a problem."""


def decode_stored(data: bytes) -> object:
    """Decode an answer of the store that lists rows."""
    return StoredRowDecoder(report=ignore).decode(decode_object(data, "test"))


def decode_link_item(data: bytes) -> object:
    """Decode an item of a job in the frame of a link."""
    return decode_item(pb.Item(job_item=data), "peer")


JSON_DECODERS: Mapping[str, tuple[Callable[[bytes], object], bytes]] = {
    "job": (decode_job, JOB),
    "announcement": (lambda data: decode_announcement("i-1", data), ANNOUNCEMENT),
    "runs": (lambda data: decode_runs(POLL, decode_object(data, "test"), ignore), RUNS),
    "configuration": (lambda data: decode_order("config", data), CONFIG),
    "wave": (lambda data: decode_order("wave/3", data), WAVE),
    "stored rows": (
        decode_stored,
        b'{"Ver":9,"rows":[{"Table":"hosts","part":"","Key":"h","Value":"AAAA",'
        b'"Ver":7},{"Table":"hosts","part":"","Key":"i","Deleted":true,"Ver":8}]}',
    ),
    "table row": (
        table_rows.decode_row,
        table_rows.encode_row(RevisionRow(revision=7), "t"),
    ),
    "lease row": (table_rows.decode_row, table_rows.encode_row(LEASE_ROW, "t")),
    "record": (
        lambda data: records.decode_object(data, peer="caller"),
        b'{"kind":"service","schema_version":1}',
    ),
    "operator answer": (
        lambda data: decode_answer("http://e", 200, data),
        b'{"problems":[]}',
    ),
}
MSGPACK_DECODERS: Mapping[str, tuple[Callable[[bytes], object], bytes]] = {
    **{
        type(row).__name__: (
            lambda data: decode_row(data, peer="hosts/h"),
            encode_row(row),
        )
        for row in ROWS
    },
    "job item": (lambda data: decode_job_item(data, "peer"), encode_job_item(ITEM)),
    "orders": (lambda data: decode_job_item(data, "peer"), encode_job_item(ORDERS)),
    "link item": (decode_link_item, encode_job_item(ITEM)),
}


def check(decode: Callable[[bytes], object], data: bytes) -> object:
    """Decode and require a value or a typed error within the time limit."""
    started_at = time.monotonic()
    try:
        return decode(data)
    except BulrushpulleyError as error:
        return error
    finally:
        assert time.monotonic() - started_at < MAX_DECODING_TIME_S


@dataclass(frozen=True, kw_only=True, slots=True)
class Slot:
    """A place in a nested value, as the keys and indexes that lead to it."""

    path: tuple[str | int, ...]


def slots_of(value: Any, path: tuple[str | int, ...] = ()) -> list[Slot]:
    """Return every place in a value."""
    found = [Slot(path=path)]
    if isinstance(value, dict):
        for key, item in value.items():
            found += slots_of(item, (*path, key))
    if isinstance(value, list):
        for index, item in enumerate(value):
            found += slots_of(item, (*path, index))
    return found


def with_value(value: Any, path: tuple[str | int, ...], odd: Any) -> Any:
    """Return a copy of a value with another one at a place."""
    if not path:
        return odd
    copy: Any = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = with_value(value[path[0]], path[1:], odd)
    return copy


def encode_json(value: Any) -> bytes:
    """Encode a value, with the markers replaced by what they stand for."""
    data = msgspec.json.encode(value)
    for marker, replacement in ((NESTED_MARKER, NESTED_JSON), (HUGE_MARKER, HUGE_JSON)):
        data = data.replace(msgspec.json.encode(marker), replacement)
    return data


def mark_msgpack(value: Any) -> Any:
    """Return a value with the marker replaced by deeply nested lists."""
    if value == NESTED_MARKER:
        return NESTED_MSGPACK
    if isinstance(value, dict):
        return {key: mark_msgpack(item) for key, item in value.items()}
    if isinstance(value, list):
        return [mark_msgpack(item) for item in value]
    return value


class DecoderTest(testtools.TestCase):
    def test_samples_are_decoded(self) -> None:
        for name, (decode, sample) in {**JSON_DECODERS, **MSGPACK_DECODERS}.items():
            self.assertNotIsInstance(check(decode, sample), Exception, name)

    def test_any_field_of_a_json_body_may_be_odd(self) -> None:
        for decode, sample in JSON_DECODERS.values():
            value = msgspec.json.decode(sample)
            for slot in slots_of(value):
                for odd in ODD_VALUES:
                    check(decode, encode_json(with_value(value, slot.path, odd)))

    def test_any_field_of_a_row_may_be_odd(self) -> None:
        for decode, sample in MSGPACK_DECODERS.values():
            value = msgspec.msgpack.decode(decompress(sample))
            for slot in slots_of(value):
                for odd in (*ODD_VALUES, float("nan"), float("inf"), 2**64 - 1):
                    data = mark_msgpack(with_value(value, slot.path, odd))
                    check(decode, msgspec.msgpack.encode(data))

    def test_unknown_fields_may_be_nested_deeply(self) -> None:
        """Unknown fields are skipped, which also recurses."""
        for decode, sample in JSON_DECODERS.values():
            value = {**msgspec.json.decode(sample), "Other": NESTED_MARKER}
            check(decode, encode_json(value))
        for row in ROWS:
            fields = msgspec.msgpack.decode(msgspec.msgpack.encode(row))
            envelope = msgspec.msgpack.decode(decompress(encode_row(row)))
            nested = {**envelope, "row": {**fields, "other": NESTED_MSGPACK}}
            data = msgspec.msgpack.encode(nested)
            for form in (data, COMPRESSED_PREFIX + zlib.compress(data)):
                error = check(lambda form: decode_row(form, peer="p"), form)
                self.assertIsInstance(error, BulrushpulleyError)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(data=st.binary(max_size=400))
    def test_any_bytes(self, data: bytes) -> None:
        for decode, _ in (*JSON_DECODERS.values(), *MSGPACK_DECODERS.values()):
            check(decode, data)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(data=st.data())
    def test_samples_with_changed_bytes(self, data: st.DataObject) -> None:
        decoders = (*JSON_DECODERS.values(), *MSGPACK_DECODERS.values())
        decode, sample = data.draw(st.sampled_from(decoders))
        position = data.draw(st.integers(0, len(sample) - 1))
        end = data.draw(st.integers(position, len(sample)))
        inserted = data.draw(st.binary(max_size=8))
        check(decode, sample[:position] + inserted + sample[end:])

    def test_a_row_that_grows_on_decompression_is_refused(self) -> None:
        grown = COMPRESSED_PREFIX + zlib.compress(bytes(MAX_DECOMPRESSED_BYTES + 1))
        error = check(lambda data: decode_row(data, peer="p"), grown)
        self.assertIsInstance(error, BulrushpulleyError)


class RowCheckTest(testtools.TestCase):
    """Rows that decode, but whose values would end or block their readers."""

    def _assert_refused(self, row: rows.Row) -> None:
        self.assertRaises(BulrushpulleyError, decode_row, encode_row(row), peer="p")

    def test_addresses_that_cannot_be_dialled_are_refused(self) -> None:
        for address in (
            "10.0.0.9:99999",
            "10.0.0.9:0",
            "10.0.0.9:-1",
            "10.0.0.9:",
            "10.0.0.9",
            "10.0.0.9:x",
            "10.0.0.9:²",
            ":80",
            "a:80",
            "",
            "1" * 10_000 + ":80",
            "10.0.0.9:" + "1" * 10_000,
        ):
            row = rows.HostRow(
                host="h", address=address, failure_domain="z", region="r"
            )
            self._assert_refused(row)
            body = msgspec.json.decode(ANNOUNCEMENT)
            data = msgspec.json.encode({**body, "Addr": address})
            self.assertRaises(BulrushpulleyError, decode_announcement, "i-1", data)

    def test_numbers_out_of_range_are_refused(self) -> None:
        owner = rows.OwnerRow(holder="e", incarnation="e-1", epoch=1, sequence=1)
        for number in (-1, 2**63):
            self._assert_refused(replace(owner, epoch=number))
            self._assert_refused(replace(JOB_ROW, max_attempts=number))
            end = RunEnd(number=number, task_id="a.0.0.1", run=1, how="done")
            self._assert_refused(replace(HOST_ROW, ends=(end,)))
            self._assert_refused(replace(HOST_ROW, epoch=number))
            self._assert_refused(replace(HOST_ROW, adoption=number))
            ref = RunRef(task_id="a.0.0.1", run=number)
            self._assert_refused(replace(HOST_ROW, runs=(ref,)))
            end = RunEnd(number=1, task_id="a.0.0.1", run=number, how="done")
            self._assert_refused(replace(HOST_ROW, ends=(end,)))
        for amount in (float("nan"), float("inf"), -1.0):
            self._assert_refused(replace(JOB_ROW, accepted_at_s=amount))
            end = RunEnd(number=1, task_id="a.0.0.1", run=1, how="done", age_s=amount)
            self._assert_refused(replace(HOST_ROW, ends=(end,)))
            self._assert_refused(
                rows.HarmsRow(estimates=(), target_by_image=(("a", amount),))
            )

    def test_a_host_row_of_an_earlier_version_names_no_ends(self) -> None:
        fields = ("host", "address", "failure_domain", "region")
        earlier = {name: getattr(HOST_ROW, name) for name in fields}
        data = msgspec.msgpack.encode({"kind": "host", "row": earlier})
        self.assertEqual(HOST_ROW, decode_row(compress(data), peer="h"))

    def test_an_end_of_an_earlier_version_has_no_age(self) -> None:
        fields = ("host", "address", "failure_domain", "region")
        earlier = {name: getattr(HOST_ROW, name) for name in fields}
        end = {"number": 1, "task_id": "a.0.0.1", "run": 1, "how": "done"}
        row = {**earlier, "life": "i-1/1", "ends": [end]}
        data = msgspec.msgpack.encode({"kind": "host", "row": row})
        found = decode_row(compress(data), peer="h")
        assert isinstance(found, rows.HostRow)
        self.assertEqual([0.0], [each.age_s for each in found.ends])

    def test_jobs_that_cannot_be_expanded_are_refused(self) -> None:
        step = SPEC.steps[0]
        for spec in (
            replace(SPEC, steps=()),
            replace(SPEC, steps=(replace(step, count=MAX_TASKS + 1),)),
            replace(SPEC, occurrences=2**40),
            replace(SPEC, steps=(replace(step, count=0),)),
            replace(SPEC, steps=(replace(step, after=(0,)),)),
            replace(SPEC, steps=(replace(step, estimate_s=float("nan")),)),
        ):
            self._assert_refused(replace(JOB_ROW, spec=spec))

    # An owner went through all numbers up to that of the last page, without an end.
    def test_pages_that_no_job_has_are_refused(self) -> None:
        row = rows.ProgressRow(job_id="a", state=rows.JobState.RUNNING)
        last = replace(row, page=MAX_TASKS, pages=MAX_TASKS + 1)
        self.assertEqual(last, decode_row(encode_row(last), peer="p"))
        for page, pages in ((0, 0), (0, 2**53), (1, 1), (2**53, 2**53)):
            self._assert_refused(replace(row, page=page, pages=pages))

    def test_an_ended_job_is_told_from_a_job_without_steps(self) -> None:
        """Our own rows of ended jobs were refused, which hid rows that are odd."""
        ended = rows.ended_row(JOB_ROW)
        self.assertEqual(ended, decode_row(encode_row(ended), peer="p"))
        earlier_form = replace(JOB_ROW, spec=SPEC_WITHOUT_STEPS)
        self.assertEqual(ended, decode_row(encode_row(earlier_form), peer="p"))
        for odd in (
            replace(earlier_form, spec=replace(SPEC, steps=())),
            replace(earlier_form, priority=-1),
            replace(earlier_form, spec=replace(SPEC_WITHOUT_STEPS, occurrences=9)),
            replace(ended, priority=-1),
            replace(ended, spec=SPEC),
            replace(ended, spec=replace(SPEC_WITHOUT_STEPS, occurrences=9)),
        ):
            self._assert_refused(odd)

    # One without `Capacity` replaced those of the server, which got no task any more.
    def test_announcements_that_lack_a_field_are_refused(self) -> None:
        body = msgspec.json.decode(ANNOUNCEMENT)
        whole = {**body, "Capacity": {"Cpu": 1_000, "MemMb": 1_000}}
        decode_announcement("i-1", msgspec.json.encode(whole))
        fields = ("Service", "Addr", "Zone", "State", "Capacity", "Labels")
        lacking = [
            {name: value for name, value in whole.items() if name != field}
            for field in fields
        ]
        lacking += [
            {**whole, "Capacity": {"Cpu": 1_000}},
            {**whole, "Capacity": {"MemMb": 1_000}},
        ]
        for odd in lacking:
            data = msgspec.json.encode(odd)
            self.assertRaises(BulrushpulleyError, decode_announcement, "i-1", data)

    def test_announcements_beyond_sense_are_refused(self) -> None:
        body = msgspec.json.decode(ANNOUNCEMENT)
        odd_fields: tuple[dict[str, Any], ...] = (
            {"Capacity": {"Cpu": 2**50}},
            {"Capacity": {"MemMb": 2**50}},
            {"RemainingMs": 2**50},
            {"Labels": [[[]]]},
            {"Labels": [7]},
        )
        for fields in odd_fields:
            data = msgspec.json.encode({**body, **fields})
            self.assertRaises(BulrushpulleyError, decode_announcement, "i-1", data)


class SoundEntriesTest(testtools.TestCase):
    """One malformed entry of a list leaves the others in use."""

    def test_malformed_runs_and_ends_are_left_out(self) -> None:
        value = msgspec.json.decode(RUNS)
        for odd in (7, None, [], [1, 2, 3], ["a", "x", "", 1], ["a", -1, "", 1]):
            problems: list[Problem] = []
            raw = {
                **value,
                "Running": [odd, *value["Running"]],
                "Finished": [[["x"], "a", 1, "done"], odd, *value["Finished"]],
            }
            listed = decode_runs(POLL, raw, problems.append)
            self.assertEqual(["a.0.0.1"], [run.task_id for run in listed.runs])
            self.assertEqual([58], [end.number for end in listed.ends])
            self.assertEqual(3, len(problems))

    def test_an_odd_row_is_reported_once_for_each_version(self) -> None:
        problems: list[Problem] = []
        decoder = StoredRowDecoder(report=problems.append)
        entry = {"Table": "hosts", "part": "", "Key": "h", "Value": "é", "Ver": 7}
        for _ in range(3):
            stored = decoder.decode({"rows": [entry]})
        self.assertTrue(stored[0].unreadable)
        self.assertEqual(1, len(problems))
        decoder.decode({"rows": [{**entry, "Ver": 8}]})
        self.assertEqual(2, len(problems))
