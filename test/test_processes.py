"""Tests of real processes on loopback: graceful stops, kills and pauses."""

from __future__ import annotations

import pathlib
import signal
import socket
import tempfile
import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor

import testtools
import urllib3

from scripts.fleet import HOST, Fleet, get_json, make_layout
from standins.caller import Caller, Target, count_runs, make_calls
from standins.caller_core import Report, plan, tally

SERVICE = "oven-conductor"
READY_TIMEOUT_S = 15.0
SLOW_RESPONSE_S = 1.0
POLL_INTERVAL_S = 0.05


def post(url: str, body: bytes, **headers: str) -> urllib3.BaseHTTPResponse:
    header_by_name = {name.replace("_", "-"): value for name, value in headers.items()}
    return urllib3.request(
        "POST", url, body=body, headers=header_by_name, timeout=15.0, retries=False
    )


class ProcessesTest(testtools.TestCase):
    def start(self, *, entries: int, agents: int) -> Fleet:
        layout = make_layout(
            "firinzeka",
            [f"entry-{number}" for number in range(1, entries + 1)],
            [f"agent-0{number}" for number in range(1, agents + 1)],
        )
        folder = pathlib.Path(tempfile.mkdtemp(prefix="bulrushpulley-test-"))
        fleet = Fleet(layout=layout, folder=folder)
        self.addCleanup(fleet.kill_all)
        fleet.start_all()
        for url in layout.operator_urls:
            self.wait_for_agents(url, agents)
        return fleet

    def wait_for_agents(
        self, url: str, count: int, timeout_s: float = READY_TIMEOUT_S
    ) -> None:
        deadline = time.monotonic() + timeout_s
        while True:
            status = get_json(url, "/v1/status")
            if len(status.get("agents", [])) == count:
                return
            self.assertTrue(time.monotonic() < deadline, status)
            threading.Event().wait(POLL_INTERVAL_S)

    def slow_down(self, fleet: Fleet) -> None:
        for url in fleet.layout.backend_urls:
            body = b'{"mode": "slow", "delay_s": %f}' % SLOW_RESPONSE_S
            self.assertEqual(200, post(f"{url}/switch", body).status)

    def wait_for_run(self, fleet: Fleet, request_id: str) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not count_runs(fleet.layout.backend_urls)[request_id]:
            self.assertTrue(
                time.monotonic() < deadline, "the request did not run in time"
            )
            threading.Event().wait(POLL_INTERVAL_S)

    def send_calls(self, fleet: Fleet, duration_s: float) -> Report:
        target = Target(
            entries=fleet.layout.caller_urls,
            service=SERVICE,
            within_s=6.0,
            max_attempts=20,
            body_bytes=50,
        )
        calls = plan(
            rate=30.0,
            seconds=duration_s,
            repeatable_fraction=0.3,
            seed=7,
            id_prefix="load",
        )
        ended = make_calls(Caller(target=target), calls, 128)
        return tally(ended, count_runs(fleet.layout.backend_urls))

    def test_a_port_in_use_is_reported_with_its_step(self) -> None:
        layout = make_layout("firinzeka", ["entry-1"], [])
        folder = pathlib.Path(tempfile.mkdtemp(prefix="bulrushpulley-test-"))
        fleet = Fleet(layout=layout, folder=folder)
        self.addCleanup(fleet.kill_all)
        with socket.create_server((HOST, layout.entries[0].callers)):
            program = fleet.start_entry(layout.entries[0])
            self.assertEqual(1, program.process.wait(READY_TIMEOUT_S))
        self.assertIn("process.start", program.log.read_text())

    def test_a_planned_stop_interrupts_no_request(self) -> None:
        fleet = self.start(entries=1, agents=1)
        self.slow_down(fleet)
        url = f"{fleet.layout.caller_urls[0]}/v1/call/{SERVICE}"
        with ThreadPoolExecutor(2) as pool:
            for name in ("agent-01", "entry-1"):
                key = f"key-{name}"
                call = pool.submit(post, url, b"bread", Idempotency_Key=key)
                self.wait_for_run(fleet, key)
                if name == "agent-01":
                    self.assertEqual(0, fleet.stop(name))
                    fleet.start_agent(fleet.layout.agents[0])
                    self.wait_for_agents(fleet.layout.operator_urls[0], 1)
                else:
                    self.assertEqual(0, fleet.stop(name))
                reply = call.result()
                self.assertEqual(200, reply.status, str(reply.data))
                self.assertEqual(f"{key}\nbread".encode(), reply.data)

    def test_no_request_runs_twice_after_an_entry_is_killed(self) -> None:
        fleet = self.start(entries=2, agents=2)
        with ThreadPoolExecutor(1) as pool:
            load: Future[Report] = pool.submit(self.send_calls, fleet, 3.0)
            threading.Event().wait(1.5)
            fleet.program_by_name["entry-1"].process.kill()
            report = load.result()
        self.assertEqual(0, report.doubled, str(report))
        self.assertEqual(0, report.wrong, str(report))
        self.assertEqual(0, report.false_refusals, str(report))
        self.assertTrue(report.served > report.calls * 0.9, report)

    def test_a_paused_agent_is_dropped_and_returns(self) -> None:
        fleet = self.start(entries=1, agents=2)
        paused = fleet.program_by_name["agent-01"].process
        paused.send_signal(signal.SIGSTOP)
        self.wait_for_agents(fleet.layout.operator_urls[0], 1)
        report = self.send_calls(fleet, 0.5)
        self.assertEqual(report.calls, report.served, str(report))
        paused.send_signal(signal.SIGCONT)
        self.wait_for_agents(fleet.layout.operator_urls[0], 2)
        report = self.send_calls(fleet, 0.5)
        self.assertEqual(
            (report.calls, 0), (report.served, report.doubled), str(report)
        )
