"""Announcements and withdrawals whose id of a backend server cannot be used.

The id becomes a header of calls to the server. One that cannot be a header once ended
the agent's process half a second after the announcement.
"""

from __future__ import annotations

from http.client import HTTPConnection

import testtools

from bulrushpulley.entities.jobs.executor_calls import (
    Announced,
    ConfirmIncarnation,
    IncarnationUnconfirmed,
    PollFailed,
    PollRuns,
    Withdrawn,
)
from bulrushpulley.entities.step import Event
from bulrushpulley.errors import BulrushpulleyError, Problem
from bulrushpulley.platform.agent_front import AgentFront
from bulrushpulley.platform.executor import ExecutorClient, decode_announcement
from bulrushpulley.wire.http_message import HttpRequest
from bulrushpulley.wire.http_server import HttpServer
from scripts.fleet import free_ports
from test.test_platform_bodies import ANNOUNCEMENT

ODD_PATH_IDS = ("%FF%FE", "%EF%BF%BD", "%C3%A9", "i%0A1", "i%0D%0AA:b", "i%00", "%20")
ODD_IDS = ("\ufffd", "\xe9", "i\n1", "i\r\nA:b", "i\0", " ", "i 1", "\ud800", "")


def post(connection: HTTPConnection, path: str) -> int:
    """Send a heartbeat's body over a connection and return the answer's status.

    A connection for each request could fill the server's queue.
    """
    connection.request("POST", path, body=ANNOUNCEMENT)
    response = connection.getresponse()
    response.read()
    return response.status


class OddServerIdTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.events: list[Event] = []
        self.problems: list[Problem] = []
        self.front = AgentFront(
            tell=self.events.append, report=self.problems.append, metrics_text=str
        )

    def _serve(self) -> int:
        (port,) = free_ports(1)
        server = HttpServer(
            host="127.0.0.1",
            port=port,
            handler=self.front.handle,
            threads=1,
            report=self.problems.append,
        )
        server.start()
        self.addCleanup(server.stop, 0.1)
        return port

    def test_such_an_id_is_answered_400_and_logged_once(self) -> None:
        connection = HTTPConnection("127.0.0.1", self._serve(), timeout=10.0)
        self.addCleanup(connection.close)
        for call in ("heartbeat", "deregister"):
            for odd in ODD_PATH_IDS:
                path = f"/v1/instances/{odd}/{call}"
                self.assertEqual(400, post(connection, path), path)
        self.assertEqual([], self.events)
        self.assertEqual(["Id"], [problem.field for problem in self.problems])
        for call in ("heartbeat", "deregister"):
            path = f"/v1/instances/i-7f3a91c2/{call}"
            self.assertEqual(200, post(connection, path))
        announced, withdrawn = self.events
        assert isinstance(announced, Announced)
        self.assertEqual("i-7f3a91c2", announced.server_id)
        self.assertEqual(Withdrawn(server_id="i-7f3a91c2"), withdrawn)

    def test_each_source_is_logged(self) -> None:
        for peer in ("10.0.0.1:1", "10.0.0.1:2", "10.0.0.2:1"):
            request = HttpRequest(
                method="POST",
                path="/v1/instances/\xe9/heartbeat",
                query="",
                header_by_name={},
                body=ANNOUNCEMENT,
                peer=peer,
            )
            self.assertEqual(400, self.front.handle(request).status)
        self.assertEqual(2, len(self.problems))

    def test_such_an_id_is_not_decoded(self) -> None:
        for odd in ODD_IDS:
            self.assertRaises(
                BulrushpulleyError, decode_announcement, odd, ANNOUNCEMENT
            )

    def test_a_call_with_such_an_id_is_not_sent(self) -> None:
        """Whatever brought the id, the call fails and raises nothing."""
        client = ExecutorClient(report=self.problems.append)
        address = f"127.0.0.1:{self._serve()}"
        for odd in ("\ufffd", "i\n1", "\ud800"):
            poll = PollRuns(
                server_id=odd,
                address=address,
                timeout_s=10.0,
                fencing_token=1,
                noted=0,
                wait_ms=0,
                lease_until_ms=None,
            )
            self.assertIsInstance(client.call(poll), PollFailed)
            confirm = ConfirmIncarnation(
                server_id=odd,
                address=address,
                timeout_s=10.0,
                fencing_token=1,
                started_at_ms=1,
            )
            self.assertIsInstance(client.call(confirm), IncarnationUnconfirmed)
