"""Runs the product and prints where its threads spend processor time.

``python -m scripts.sampled FILE VERB ...`` runs ``bulrushpulley VERB ...``. Each few
milliseconds the processor time that each thread has used since is added to the
functions on its stack. The totals are written to FILE every two seconds.
"""

from __future__ import annotations

import pathlib
import sys
import threading
import time
from collections import defaultdict
from types import FrameType

from bulrushpulley.main import console

SAMPLE_INTERVAL_S = 0.003
WRITE_INTERVAL_S = 2.0
# With the usual interval, samples are taken only where a thread waits or does I/O.
SWITCH_INTERVAL_S = 0.0001
MAX_FUNCTIONS = 70


def function_name(frame: FrameType) -> str:
    """Return the file and name of a frame's function."""
    path = pathlib.PurePath(frame.f_code.co_filename)
    return f"{path.parent.name}/{path.name}:{frame.f_code.co_qualname}"


class Sampler:
    """Samples all threads of the process; runs on a thread of its own."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._used_s_by_thread: dict[int, float] = {}
        self._own_s: defaultdict[str, float] = defaultdict(float)
        self._total_s: defaultdict[str, float] = defaultdict(float)
        self._thread_s: defaultdict[str, float] = defaultdict(float)

    def run(self) -> None:
        """Sample until the process ends."""
        write_at = time.monotonic() + WRITE_INTERVAL_S
        while True:
            threading.Event().wait(SAMPLE_INTERVAL_S)
            self._sample()
            if time.monotonic() >= write_at:
                write_at = time.monotonic() + WRITE_INTERVAL_S
                self._path.write_text(self.text())

    def _sample(self) -> None:
        frame_by_thread = sys._current_frames()
        for thread in threading.enumerate():
            ident = thread.ident
            if ident is None or thread is threading.current_thread():
                continue
            used_s = time.clock_gettime(time.pthread_getcpuclockid(ident))
            spent_s = used_s - self._used_s_by_thread.get(ident, used_s)
            self._used_s_by_thread[ident] = used_s
            frame = frame_by_thread.get(ident)
            if spent_s > 0.0 and frame is not None:
                self._add(thread.name, frame, spent_s)

    def _add(self, thread: str, frame: FrameType, spent_s: float) -> None:
        self._thread_s[thread.rstrip("0123456789_-")] += spent_s
        self._own_s[function_name(frame)] += spent_s
        names: set[str] = set()
        current: FrameType | None = frame
        while current is not None:
            names.add(function_name(current))
            current = current.f_back
        for name in names:
            self._total_s[name] += spent_s

    def text(self) -> str:
        """Return the totals as text."""
        lines: list[str] = []
        for title, seconds_by_name in (
            ("threads", self._thread_s),
            ("with callees", self._total_s),
            ("alone", self._own_s),
        ):
            lines.append(f"== {title}")
            ranked = sorted(seconds_by_name.items(), key=lambda item: -item[1])
            for name, seconds in ranked[:MAX_FUNCTIONS]:
                lines.append(f"{seconds:9.3f} s  {name}")
        return "\n".join(lines) + "\n"


if __name__ == "__main__":
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    sampler = Sampler(pathlib.Path(sys.argv.pop(1)))
    threading.Thread(target=sampler.run, daemon=True, name="sampler").start()
    console()
