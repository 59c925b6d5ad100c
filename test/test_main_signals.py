"""Tests of how a process handles the signals of the platform."""

from __future__ import annotations

import os
import signal
import threading
from types import SimpleNamespace
from typing import Any, cast

import testtools

from bulrushpulley import main


class FakeProcess:
    """A process that records its stages and sends itself signals at its start."""

    def __init__(self, *signals: int) -> None:
        self.runtime: Any = SimpleNamespace(
            name="p",
            stopping=threading.Event(),
            skip_notice=threading.Event(),
            failed=threading.Event(),
        )
        self.stages: list[str] = []
        self._signals = signals

    def start(self) -> None:
        self.stages.append("start")
        for number in self._signals:
            os.kill(os.getpid(), number)

    def stop(self) -> None:
        self.stages.append("stop")


class SignalTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    def test_a_change_of_settings_does_not_end_a_process(self) -> None:
        process = FakeProcess(signal.SIGHUP, signal.SIGTERM)
        code = main.run_process(cast(main.Process, process))
        self.assertEqual((0, ["start", "stop"]), (code, process.stages))

    def test_a_second_signal_skips_the_notice(self) -> None:
        process = FakeProcess(signal.SIGTERM, signal.SIGTERM)
        main.run_process(cast(main.Process, process))
        self.assertTrue(process.runtime.skip_notice.is_set())
