"""Entries of other writers in the tables that the whole site reads.

Guards against one odd entry that ends its readers, or keeps them from the entries
beside it: each is in place while jobs run, an owner is replaced and entries restart.
"""

from __future__ import annotations

import msgspec
import testtools

from bulrushpulley.entities.jobs.calls import JobAccepted, TryLater
from bulrushpulley.entities.jobs.configuration import Configuration
from bulrushpulley.entities.jobs.intake_tables import INTAKE, IntakeTables
from bulrushpulley.entities.jobs.rows import (
    BACKLOGS,
    HARMS,
    HOSTS,
    INTAKE_PART,
    JOBS,
    ORDERS,
    OWNED_PART,
    OWNER_KEY,
    OWNERS,
    PROGRESS,
    CancelRow,
    HostRow,
    JobState,
    OwnerRow,
    RowKey,
    job_key,
)
from bulrushpulley.entities.jobs.scheduler_tables import DialAgent
from bulrushpulley.entities.step import Command
from bulrushpulley.wire.job_rows import encode_row
from test.jobs_world import JobsWorld
from test.test_decoders import NESTED_JSON, NESTED_MSGPACK

STARTUP_S = 3.0
COMPLETION_S = 20.0
PARTS = (
    (HOSTS, ""),
    (JOBS, INTAKE_PART),
    (JOBS, "other"),
    (PROGRESS, OWNED_PART),
    (OWNERS, OWNED_PART),
    (HARMS, OWNED_PART),
    (BACKLOGS, OWNED_PART),
    (ORDERS, ""),
)
ODD_VALUES = {
    "empty": b"",
    "text": b"odd",
    "nested JSON": NESTED_JSON,
    "nested MessagePack": msgspec.msgpack.encode(
        {"kind": "host", "more": NESTED_MSGPACK}
    ),
    "megabyte": bytes(1_000_000),
    "another row": encode_row(CancelRow(job_id="0" * 16)),
    "port out of range": encode_row(
        HostRow(host="a", address="10.0.0.9:99999", failure_domain="z", region="r")
    ),
    "number too large": encode_row(
        OwnerRow(holder="a", incarnation="a-1", epoch=2**63, sequence=0)
    ),
}


def put_odd_entries(world: JobsWorld) -> None:
    """Write each odd value into each table, before and behind the sound entries."""
    for table, part in PARTS:
        for name, value in ODD_VALUES.items():
            for key in (f"!{name}", f"~{name}", "a"):
                world.store.put_value(RowKey(table=table, part=part, key=key), value)


class MalformedEntriesTest(testtools.TestCase):
    def _run_jobs(self, world: JobsWorld, numbers: range) -> None:
        world.run(STARTUP_S)
        for number in numbers:
            world.submit(number, entry="entry-1")
        completed = world.run_until(world.all_complete, COMPLETION_S)
        self.assertTrue(completed, f"{world.store.problems[-3:]}")
        self.assertEqual([], world.violations)

    def test_odd_entries_that_stand_before_the_start(self) -> None:
        world = JobsWorld()
        put_odd_entries(world)
        self._run_jobs(world, range(1, 5))

    def test_odd_entries_that_arrive_while_the_owner_watches(self) -> None:
        world = JobsWorld()
        self._run_jobs(world, range(1, 3))
        put_odd_entries(world)
        self._run_jobs(world, range(3, 6))

    def test_a_takeover_and_a_restart_beside_odd_entries(self) -> None:
        world = JobsWorld()
        put_odd_entries(world)
        self._run_jobs(world, range(1, 3))
        world.kill(world.owner())
        world.run(0.5)
        for name in ("entry-0", "entry-1"):
            if not world.process_by_name[name].alive:
                world.start_entry(name)
        self._run_jobs(world, range(3, 6))
        world.store.compact()
        world.restart("entry-1")
        world.run(1.0)
        self._run_jobs(world, range(6, 9))

    def test_a_host_keeps_its_address_when_its_row_is_overwritten(self) -> None:
        world = JobsWorld(hosts=1)
        world.run(STARTUP_S)
        host = RowKey(table=HOSTS, part="", key="z0-0")
        world.store.put_value(host, ODD_VALUES["nested MessagePack"])
        world.run(1.0)
        world.restart("z0-0")
        self._run_jobs(world, range(1, 3))

    def test_the_last_readable_configuration_stays_in_force(self) -> None:
        world = JobsWorld()
        world.run(STARTUP_S)
        config = RowKey(table=ORDERS, part="", key="config")
        for value in (b"odd", NESTED_JSON, b'{"Version":9,"Routes":[{"Priority":-1}]}'):
            world.store.put_value(config, value)
            world.run(0.5)
            intake = world.process_by_name["entry-1"].instance_by_role[INTAKE]
            tables: IntakeTables = intake.tables
            settings = tables.operator_settings
            self.assertIsInstance(settings.configuration, Configuration)
        self._run_jobs(world, range(1, 3))

    def test_an_unreadable_owner_row_is_replaced_with_a_higher_epoch(self) -> None:
        """Agents ignore owners with an epoch that is lower than a known one."""
        world = JobsWorld()
        for _ in range(3):
            world.run(STARTUP_S)
            world.restart(world.owner())
        self._run_jobs(world, range(1, 3))
        epoch = self._owner_epoch(world)
        world.store.put_value(OWNER_KEY, msgspec.msgpack.encode(NESTED_MSGPACK))
        self._run_jobs(world, range(3, 6))
        self.assertGreater(self._owner_epoch(world), epoch)

    def _owner_epoch(self, world: JobsWorld) -> int:
        row = world.store.row_by_key[OWNER_KEY].row
        assert isinstance(row, OwnerRow)
        return row.epoch

    def test_a_job_whose_key_another_writer_uses_is_refused_alone(self) -> None:
        """It was accepted as if it were stored, and never ran."""
        world = JobsWorld()
        world.run(STARTUP_S)
        world.store.put_value(job_key(f"{7:016x}"), ODD_VALUES["text"])
        for number in (6, 7, 8):
            world.submit(number)
        world.run(1.0)
        answers = [type(world.answer_to(f"submit-{number}")) for number in (6, 7, 8)]
        self.assertEqual([JobAccepted, TryLater, JobAccepted], answers)
        world.run(4.0)
        for number in (6, 8):
            self.assertEqual(JobState.COMPLETED, world.state_of(f"{number:016x}"))

    def test_two_hosts_with_one_address(self) -> None:
        """A second link to an agent would end the first one, again and again.

        The row of a removed host stays in the table when its address is used again.
        """
        world = JobsWorld()
        world.run(STARTUP_S)
        dialled: list[DialAgent] = []

        def record(command: Command) -> None:
            if isinstance(command, DialAgent):
                dialled.append(command)

        world.hook = record
        row = HostRow(host="z9-9", address="z0-0", failure_domain="z9", region="r")
        world.store.put(row)
        links = list(world.links)
        world.run(10.0)
        self.assertEqual([], dialled)
        self.assertEqual(links, world.links)
        self._run_jobs(world, range(1, 4))
