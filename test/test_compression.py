"""Tests of compressed rows and messages: round trips and damaged data."""

from __future__ import annotations

import testtools

from bulrushpulley.entities.jobs.items import Orders
from bulrushpulley.entities.jobs.rows import JobState, ProgressRow, TaskProgress
from bulrushpulley.entities.jobs.runs import RunOrder
from bulrushpulley.entities.resources import Resources
from bulrushpulley.errors import BulrushpulleyError
from bulrushpulley.wire.compression import MIN_BYTES_TO_COMPRESS, compress, decompress
from bulrushpulley.wire.job_items import decode_job_item, encode_job_item
from bulrushpulley.wire.job_rows import decode_row, encode_row

TASKS = tuple(
    TaskProgress(occurrence=0, step=0, index=index, run=1, host="host", life="life")
    for index in range(20)
)
ROW = ProgressRow(job_id="5c0e7a21d94b36f8", state=JobState.RUNNING, tasks=TASKS)


class CompressionTest(testtools.TestCase):
    def test_small_data_is_not_compressed(self) -> None:
        data = b"\x82" + bytes(MIN_BYTES_TO_COMPRESS - 2)
        self.assertEqual(data, compress(data))
        self.assertEqual(data, decompress(data))

    def test_a_large_row_is_compressed_and_round_trips(self) -> None:
        data = encode_row(ROW)
        self.assertLess(len(data), 600)
        self.assertEqual(ROW, decode_row(data, peer="progress/5c0e"))

    def test_orders_of_similar_tasks_store_their_payload_about_once(self) -> None:
        payload = "".join(chr(33 + (7 * number) % 90) for number in range(900))
        orders = tuple(
            RunOrder(
                task_id=f"5c0e7a21d94b36f8.0.0.{index}",
                run=1,
                payload=payload,
                committed=Resources(),
            )
            for index in range(20)
        )
        item = Orders(epoch=1, life="life", start=orders)
        data = encode_job_item(item)
        self.assertLess(len(data), 3 * len(payload))
        self.assertEqual(item, decode_job_item(data, peer=""))

    def test_a_damaged_row_raises_an_error_with_its_peer(self) -> None:
        data = encode_row(ROW)
        for damaged in (data[:-5], data[:3] + b"\xff\xff" + data[5:]):
            error = self.assertRaises(
                BulrushpulleyError, decode_row, damaged, peer="progress/5c0e"
            )
            self.assertEqual("progress/5c0e", error.problem.peer)
