"""Tests of the machine service's client against an HTTP server, and of wave rows."""

from __future__ import annotations

import json
from typing import Any
from unittest import mock

import testtools

from bulrushpulley.entities.jobs.configuration import WaveOrder
from bulrushpulley.entities.jobs.machines import (
    ListMachines,
    ListMachinesFailed,
    Machine,
    MachinesListed,
    MachineState,
)
from bulrushpulley.entities.jobs.rows import WaveRow, WaveState, WaveStatusRow
from bulrushpulley.entities.jobs.upkeep import (
    OrderUpkeep,
    UpkeepOrderAccepted,
    UpkeepOrderFailed,
    UpkeepRefusal,
)
from bulrushpulley.entities.step import Event
from bulrushpulley.errors import Problem
from bulrushpulley.platform import machines
from bulrushpulley.platform.machines import MachinesClient
from bulrushpulley.platform.order_rows import decode_order
from bulrushpulley.platform.status_rows import encode_stored_row
from bulrushpulley.wire.http_message import HttpReply, HttpRequest, json_reply
from bulrushpulley.wire.http_server import HttpServer
from bulrushpulley.wire.job_rows import decode_row
from scripts.fleet import free_ports

WAVE = b'{"MaintenanceWave":3,"Machines":["m-1","m-2"],"DurationS":20,"MaxCount":2}'
FIRST_MACHINE = {"Machine": "m-1", "Pool": "ovens", "State": "up", "Id": "i-1"}
SECOND_MACHINE = {"Machine": "m-2", "Pool": "ovens", "State": "upkeep"}

REQUEST = ListMachines(role="scheduler", requested_at=4.0, timeout_s=10.0)


class RowsTest(testtools.TestCase):
    def test_a_wave_is_decoded(self) -> None:
        expected = WaveOrder(
            number=3, machine_ids=("m-1", "m-2"), within_s=20.0, at_once=2
        )
        self.assertEqual(expected, decode_order("wave/3", WAVE))

    def test_the_state_of_a_wave_has_the_platforms_encoding(self) -> None:
        row = WaveStatusRow(number=3, state=WaveState.RUNNING)
        self.assertEqual({"State": "running"}, json.loads(encode_stored_row(row)))

    def test_progress_of_a_wave_has_the_internal_encoding(self) -> None:
        row = WaveRow(number=3, ordered=("m-1",))
        self.assertEqual(row, decode_row(encode_stored_row(row), peer="waves/wave-3"))


class MachinesClientTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.requests: list[HttpRequest] = []
        self.replies: list[HttpReply] = []
        (port,) = free_ports(1)
        server = HttpServer(
            host="127.0.0.1",
            port=port,
            handler=self._handle,
            threads=1,
            report=self._report,
        )
        server.start()
        self.addCleanup(server.stop, 0.1)
        self.problems: list[Problem] = []
        self.client = MachinesClient(
            address=f"127.0.0.1:{port}", report=self.problems.append
        )

    def _report(self, problem: Problem) -> None:
        self.fail(str(problem))

    def _handle(self, request: HttpRequest) -> HttpReply:
        self.requests.append(request)
        return self.replies.pop(0)

    def test_the_list_is_read_page_by_page(self) -> None:
        self.replies = [
            json_reply(200, {"Machines": [FIRST_MACHINE], "NextToken": "t"}),
            json_reply(200, {"Machines": [SECOND_MACHINE], "NextToken": None}),
        ]
        event = self.client.list_all(REQUEST)
        first = Machine(
            machine_id="m-1", pool="ovens", state=MachineState.UP, server_id="i-1"
        )
        second = Machine(machine_id="m-2", pool="ovens", state=MachineState.UPKEEP)
        listed = MachinesListed(
            requested_at=REQUEST.requested_at,
            machines=(first, second),
            running_server_ids=frozenset({"i-1"}),
        )
        self.assertEqual(listed, event)

    def test_a_list_in_one_page_is_said_to_be(self) -> None:
        """A list in several pages may change while they are read."""
        self.replies = [json_reply(200, {"Machines": [FIRST_MACHINE]})]
        event = self.client.list_all(REQUEST)
        assert isinstance(event, MachinesListed)
        self.assertTrue(event.one_page)
        self.replies = [
            json_reply(200, {"Machines": [FIRST_MACHINE], "NextToken": "t"}),
            json_reply(200, {"Machines": [], "NextToken": ""}),
        ]
        event = self.client.list_all(REQUEST)
        assert isinstance(event, MachinesListed)
        self.assertFalse(event.one_page)

    def test_a_machine_in_an_unknown_state_stays_in_the_list(self) -> None:
        """Such a machine is neither up nor gone, so its upkeep is not finished."""
        odd = {**FIRST_MACHINE, "State": "odd"}
        self.replies = [json_reply(200, {"Machines": [odd, SECOND_MACHINE]})]
        event = self.client.list_all(REQUEST)
        assert isinstance(event, MachinesListed)
        self.assertEqual(
            [("m-1", MachineState.UNKNOWN), ("m-2", MachineState.UPKEEP)],
            [(machine.machine_id, machine.state) for machine in event.machines],
        )
        self.assertTrue(event.complete)
        self.assertEqual(["State"], [problem.field for problem in self.problems])

    def test_malformed_machines_are_left_out_of_an_incomplete_list(self) -> None:
        entries: tuple[Any, ...] = (7, None, [], {}, {"Machine": 7}, {"Machine": {}})
        for odd in entries:
            self.problems.clear()
            self.replies = [json_reply(200, {"Machines": [odd, SECOND_MACHINE]})]
            event = self.client.list_all(REQUEST)
            assert isinstance(event, MachinesListed), odd
            self.assertEqual(["m-2"], [each.machine_id for each in event.machines])
            self.assertFalse(event.complete)
            self.assertEqual(1, len(self.problems))

    def _running_server_ids(self, *entries: Any) -> frozenset[str] | None:
        self.replies = [json_reply(200, {"Machines": entries})]
        event = self.client.list_all(REQUEST)
        assert isinstance(event, MachinesListed)
        return event.running_server_ids

    def test_servers_of_malformed_machines_are_running(self) -> None:
        # Their runs would count as lost otherwise.
        changes: tuple[dict[str, Any], ...] = (
            {"Machine": 7},
            {"Machine": {}},
            {"State": "odd"},
            {"State": None},
            {"Pool": 1},
        )
        for odd in changes:
            found = self._running_server_ids({**FIRST_MACHINE, **odd}, SECOND_MACHINE)
            self.assertEqual({"i-1"}, found)

    def test_an_entry_without_a_readable_server_leaves_all_unknown(self) -> None:
        entries: tuple[Any, ...] = (7, None, [], {}, {"Id": 7}, {"Id": ["i-1"]})
        for odd in entries:
            self.assertIsNone(self._running_server_ids(odd, FIRST_MACHINE))

    def test_a_machine_that_is_up_without_a_server_leaves_all_unknown(self) -> None:
        for odd in ("", None):
            up = {**FIRST_MACHINE, "Id": odd}
            self.assertIsNone(self._running_server_ids(up, SECOND_MACHINE))

    def test_a_machine_that_is_listed_twice_names_both_servers(self) -> None:
        # It changed while the list was read page by page.
        later = {**FIRST_MACHINE, "Id": "i-2"}
        found = self._running_server_ids(FIRST_MACHINE, later)
        self.assertEqual({"i-1", "i-2"}, found)

    def test_a_machine_in_upkeep_or_moving_runs_no_server(self) -> None:
        for state in ("moving", "upkeep"):
            away = {**FIRST_MACHINE, "State": state}
            self.assertEqual(frozenset(), self._running_server_ids(away))

    def test_a_machine_that_is_down_runs_at_most_the_server_that_it_names(self) -> None:
        # The platform does not say that the server on it has ended.
        down = {**FIRST_MACHINE, "State": "down"}
        self.assertEqual({"i-1"}, self._running_server_ids(down))
        for server_id in ("", None):
            nameless = {**down, "Id": server_id}
            self.assertEqual(frozenset(), self._running_server_ids(nameless))

    def test_a_list_that_does_not_end_fails(self) -> None:
        page = {"Machines": [FIRST_MACHINE], "NextToken": "t"}
        self.replies = [json_reply(200, page) for _ in range(3)]
        with mock.patch.object(machines, "MAX_LIST_DURATION_S", 0.0):
            self.assertIsInstance(self.client.list_all(REQUEST), ListMachinesFailed)

    def test_a_body_that_is_no_list_fails_the_list(self) -> None:
        self.replies = [json_reply(200, {"Machines": "odd"})]
        event = self.client.list_all(REQUEST)
        self.assertIsInstance(event, ListMachinesFailed)

    def _order(self) -> Event:
        order = OrderUpkeep(
            role="scheduler",
            machine_id="m-1",
            wave=3,
            holder="entry-1",
            token=7,
            timeout_s=10.0,
        )
        return self.client.order_upkeep(order)

    def test_an_order_is_accepted_or_failed_by_its_answer(self) -> None:
        """Each refusal is handled by its reason, so none may pass for another."""
        odd_bodies: tuple[Any, ...] = ({"Reason": "odd"}, {"Reason": 7}, {}, [], None)
        cases: list[tuple[int, Any, UpkeepRefusal]] = [
            (409, {"Reason": "busy"}, UpkeepRefusal.CANNOT_GO_DOWN),
            (409, {"Reason": "wave"}, UpkeepRefusal.NOT_IN_WAVE),
            (409, {"Reason": "fence"}, UpkeepRefusal.NEWER_TOKEN),
            *((409, odd, UpkeepRefusal.OTHER) for odd in odd_bodies),
            (400, {"Reason": "busy"}, UpkeepRefusal.NO_SUCH_MACHINE),
            (429, {}, UpkeepRefusal.TOO_MANY_CALLS),
            (500, {}, UpkeepRefusal.NO_ANSWER),
            (503, {"Reason": "busy"}, UpkeepRefusal.UNAVAILABLE),
        ]
        for status, body, refusal in cases:
            self.replies = [json_reply(status, body)]
            event = self._order()
            assert isinstance(event, UpkeepOrderFailed), (status, body)
            self.assertEqual((3, "m-1"), (event.wave, event.machine_id))
            self.assertIs(refusal, event.refusal, f"{status} {body}: {event.reason}")
            self.assertIn(str(status), event.reason)
        self.replies = [json_reply(200, {"Reason": "busy"})]
        self.assertEqual(UpkeepOrderAccepted(wave=3, machine_id="m-1"), self._order())
        self.assertEqual(
            {"Machine": "m-1", "MaintenanceWave": 3},
            json.loads(self.requests[-1].body),
        )

    def test_an_order_that_reaches_no_server_is_not_carried_out(self) -> None:
        (port,) = free_ports(1)
        self.client = MachinesClient(
            address=f"127.0.0.1:{port}", report=self.problems.append
        )
        event = self._order()
        assert isinstance(event, UpkeepOrderFailed)
        self.assertIs(UpkeepRefusal.UNAVAILABLE, event.refusal)
