"""Compares the queue of keys with a list."""

from __future__ import annotations

import random

import testtools

from bulrushpulley.entities.key_queue import KeyQueue


class KeyQueueTest(testtools.TestCase):
    def test_behaves_as_a_list(self) -> None:
        rng = random.Random(1)
        queue, expected = KeyQueue(), list[str]()
        for number in range(500):
            kind = rng.randrange(5)
            if kind == 0:
                queue, expected = (
                    queue.appendleft(str(number)),
                    [str(number), *expected],
                )
            elif kind < 3:
                queue, expected = queue.append(str(number)), [*expected, str(number)]
            elif expected and kind == 3:
                queue, expected = queue.pop(), expected[:-1]
            elif expected:
                queue, expected = queue.popleft(), expected[1:]
            self.assertEqual(len(expected), len(queue))
            if expected:
                ends = (expected[0], expected[-1])
                self.assertEqual(ends, (queue.left, queue.right))
