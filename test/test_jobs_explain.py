"""The explanation of a job for operators: in virtual time, and over HTTP."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace

import testtools

from bulrushpulley.entities.jobs.explanation import (
    ExplainJob,
    Explanation,
    JobExplained,
    JobNotKnown,
    RedirectToOwner,
    TaskExplanation,
)
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Event
from bulrushpulley.operator_client import Call, OperatorClient
from bulrushpulley.platform.ready_front import READY_PATH, ReadyFront
from bulrushpulley.verb_output import _explain_job_lines
from bulrushpulley.wire.http_message import HttpRequest
from bulrushpulley.wire.http_server import HttpServer
from bulrushpulley.wire.pending import PendingCalls
from scripts.fleet import free_ports
from test.jobs_world import JobsWorld, step

HUGE = Resources(processors_m=99_000, memory_mb=100)
JOB = "5c0e7a21d94b36f8"
TASK = TaskExplanation(
    task_id=f"{JOB}.0.0.0", state="waiting", for_s=1.5, run=2, failures=1, detail="why"
)
EXPLAINED = JobExplained(
    call_id="",
    job_id=JOB,
    queue="push",
    state="running",
    detail="its objective is in 2.0 s",
    epoch=3,
    done=4,
    tasks=(TASK,),
)


class WorldTest(testtools.TestCase):
    def _explain(self, world: JobsWorld, entry: str, job_id: str) -> Explanation:
        question = ExplainJob(call_id="explain", job_id=job_id)
        world.tell(world.process_by_name[entry], "scheduler", question)
        world.run(0.1)
        return world.explanations[-1]

    def test_where_tasks_run_and_why_others_wait(self) -> None:
        world = JobsWorld()
        world.run(2.0)
        steps = (step(1), replace(step(1), size=HUGE), step(2, after=(0,)))
        job = world.submit(1, *steps, payload="9.0")
        world.run(0.5)
        answer = self._explain(world, world.owner(), job)
        assert isinstance(answer, JobExplained)
        first, huge, *later = answer.tasks
        self.assertEqual("running", first.state)
        self.assertNotEqual("", first.host)
        self.assertEqual("waiting", huge.state)
        self.assertIn("3 hosts of ovens are open", huge.detail)
        self.assertIn("0 have room", huge.detail)
        self.assertIn("undisturbed; no room 3", huge.detail)
        details = {task.detail for task in later}
        self.assertEqual({"earlier steps are not complete"}, details)

    def test_an_entry_that_does_not_own_names_the_owner(self) -> None:
        world = JobsWorld()
        world.run(2.0)
        (other,) = {"entry-0", "entry-1"} - {world.owner()}
        answer = self._explain(world, other, JOB)
        self.assertEqual(
            RedirectToOwner(call_id="explain", owner=world.owner()), answer
        )

    def test_a_job_that_was_never_submitted_is_not_known(self) -> None:
        world = JobsWorld()
        world.run(2.0)
        answer = self._explain(world, world.owner(), JOB)
        self.assertIsInstance(answer, JobNotKnown)


class FrontTest(testtools.TestCase):
    def _client(self, *answers: Callable[[str], Explanation]) -> OperatorClient:
        """Return a client of entries that give these answers, one entry for each."""
        return OperatorClient(
            entries=tuple(self._entry(answer) for answer in answers), author="amina"
        )

    def _entry(self, answer: Callable[[str], Explanation]) -> str:
        pending = PendingCalls(incarnation="entry-1")

        def tell(event: Event) -> None:
            assert isinstance(event, ExplainJob)
            pending.resolve(event.call_id, answer(event.job_id))

        front = ReadyFront(
            is_ready=lambda: True,
            metrics_text=lambda: "up 1\n",
            pending=pending,
            tell=tell,
        )
        ready = HttpRequest(
            method="GET",
            path=READY_PATH,
            query="",
            header_by_name={},
            body=b"",
            peer="",
        )
        self.assertEqual(200, front.handle(ready).status)
        (port,) = free_ports(1)
        server = HttpServer(
            host="127.0.0.1",
            port=port,
            handler=front.handle,
            threads=1,
            report=lambda problem: self.fail(str(problem)),
        )
        server.start()
        self.addCleanup(server.stop, 0.1)
        return f"http://127.0.0.1:{port}"

    def test_the_owner_is_found_among_entries(self) -> None:
        client = self._client(
            lambda job: RedirectToOwner(call_id="", owner="entry-2"),
            lambda job: replace(EXPLAINED, job_id=job),
        )
        call = Call(method="GET", path=f"/v1/explain/{JOB}", query={}, repeatable=True)
        answer = client.call(call, 5.0)
        self.assertEqual([], answer.codes)
        self.assertEqual(
            [
                f"{JOB} of push: running, its objective is in 2.0 s;"
                " 4 tasks done, 1 not",
                f"  {JOB}.0.0.0#2: waiting for 1.5 s, failed 1 times; why",
            ],
            _explain_job_lines(json.loads(json.dumps(answer.value))),
        )

    def test_an_unknown_job_is_an_error_with_step_and_peer(self) -> None:
        client = self._client(lambda job: JobNotKnown(call_id="", job_id=job))
        call = Call(method="GET", path=f"/v1/explain/{JOB}", query={}, repeatable=True)
        answer = client.call(call, 5.0)
        self.assertEqual(["not_found"], answer.codes)
        self.assertEqual("job.explain", answer.problems[0]["step"])
