"""Tests of links over loopback: batching, malformed frames, bounds, replacement."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import testtools
from grpclib.client import Channel

from bulrushpulley.entities.link import Abandon, LinkDown, LinkUp, Offer, Send
from bulrushpulley.entities.linker_tables import DialEnded
from bulrushpulley.entities.step import Event
from bulrushpulley.errors import Problem
from bulrushpulley.settings import TlsSettings
from bulrushpulley.wire import link_client, link_stream
from bulrushpulley.wire.link_client import Dialler
from bulrushpulley.wire.link_grpc import LinkStub
from bulrushpulley.wire.link_pb2 import Frame, Item, Refused
from bulrushpulley.wire.link_server import LinkServer
from bulrushpulley.wire.link_stream import LinkHooks
from bulrushpulley.wire.links import Links
from bulrushpulley.wire.tls import client_context, server_context

HOST = "127.0.0.1"
TLS_DIRECTORY = pathlib.Path(__file__).resolve().parent.parent / "test-data" / "tls"
LINK_EVENT_TIMEOUT_S = 4.0


@dataclass(frozen=True, kw_only=True, slots=True)
class End:
    """One process of the test, with the events and problems it received."""

    name: str
    links: Links
    events: asyncio.Queue[Event] = field(default_factory=asyncio.Queue)
    problems: list[Problem] = field(default_factory=list)
    silence_timeout_s: float = link_stream.SILENCE_TIMEOUT_S

    def hooks(self) -> LinkHooks:
        return LinkHooks(
            incarnation=self.name,
            region="ege",
            receive=self.events.put_nowait,
            count=lambda count: None,
            report=self.problems.append,
            silence_timeout_s=self.silence_timeout_s,
        )

    async def wait_for(self, expected: Event) -> None:
        async with asyncio.timeout(LINK_EVENT_TIMEOUT_S):
            while await self.events.get() != expected:
                pass


def tls_settings(owner: str) -> TlsSettings:
    return TlsSettings(
        certificate=str(TLS_DIRECTORY / f"{owner}-certificate.pem"),
        key=str(TLS_DIRECTORY / f"{owner}-key.pem"),
        ca=str(TLS_DIRECTORY / "ours-ca.pem"),
    )


def make_end(
    name: str, silence_timeout_s: float = link_stream.SILENCE_TIMEOUT_S
) -> End:
    links = Links(loop=asyncio.get_running_loop())
    return End(name=name, links=links, silence_timeout_s=silence_timeout_s)


async def serve(entry: End) -> LinkServer:
    server = LinkServer(host=HOST, port=0, links=entry.links, hooks=entry.hooks())
    await server.start()
    return server


async def dial(agent: End, server: LinkServer) -> Dialler:
    """Start a link; the caller keeps the dialler, which refers to the link's task."""
    dialler = Dialler(links=agent.links, hooks=agent.hooks())
    dialler.dial(f"{HOST}:{server.port}")
    return dialler


async def finish(server: LinkServer, *ends: End) -> None:
    for end in ends:
        await end.links.close(1.0)
    await server.close()


async def attach_raw(server: LinkServer, use: Callable[[Any], Awaitable[None]]) -> None:
    """Open a stream that sends only what `use` sends on it after the hellos."""
    channel = Channel(HOST, server.port)
    try:
        async with LinkStub(channel).Attach.open() as stream:
            await stream.send_message(Frame(peer="agent-raw", region="ege"))
            await stream.recv_message()
            await use(stream)
            await stream.cancel()
    finally:
        channel.close()


class LinksTest(testtools.TestCase):
    def run_async(self, work: Coroutine[Any, Any, None]) -> None:
        asyncio.run(work)

    def test_items_arrive_in_order_with_their_peer(self) -> None:
        async def work() -> None:
            entry, agent = make_end("entry"), make_end("agent")
            server = await serve(entry)
            dialler = await dial(agent, server)
            await entry.wait_for(LinkUp(peer="agent", region="ege"))
            await agent.wait_for(LinkUp(peer="entry", region="ege"))
            for number in range(500):
                entry.links.send(Send(peer="agent", item=Offer(cell=str(number))))
            for number in range(500):
                async with asyncio.timeout(LINK_EVENT_TIMEOUT_S):
                    event = await agent.events.get()
                self.assertEqual(Offer(peer="entry", cell=str(number)), event)
            await finish(server, agent, entry)
            self.assertIsNotNone(dialler)

        self.run_async(work())

    def test_a_stream_opened_before_the_start_is_reported_after_it(self) -> None:
        async def work() -> None:
            entry, agent = make_end("entry"), make_end("agent")
            server = LinkServer(
                host=HOST, port=0, links=entry.links, hooks=entry.hooks()
            )
            dialler = await dial(agent, server)
            await asyncio.sleep(0.1)
            self.assertTrue(entry.events.empty())
            await server.start()
            await entry.wait_for(LinkUp(peer="agent", region="ege"))
            await finish(server, agent, entry)
            self.assertIsNotNone(dialler)

        self.run_async(work())

    def test_a_malformed_item_closes_its_stream_and_no_other(self) -> None:
        async def work() -> None:
            entry, agent = make_end("entry"), make_end("agent")
            server = await serve(entry)
            dialler = await dial(agent, server)
            await agent.wait_for(LinkUp(peer="entry", region="ege"))

            async def send_bad(stream: Any) -> None:
                bad = Item(refused=Refused(ran="perhaps"))
                await stream.send_message(Frame(items=[bad]))
                await entry.wait_for(LinkDown(peer="agent-raw"))

            await attach_raw(server, send_bad)
            agent.links.send(Send(peer="entry", item=Abandon(attempt_id="x")))
            await entry.wait_for(Abandon(peer="agent", attempt_id="x"))
            self.assertEqual(["link.decode"], [p.step for p in entry.problems])
            await finish(server, agent, entry)
            self.assertIsNotNone(dialler)

        self.run_async(work())

    def test_a_stream_without_a_peer_is_refused(self) -> None:
        async def work() -> None:
            entry = make_end("entry")
            server = await serve(entry)
            channel = Channel(HOST, server.port)
            async with LinkStub(channel).Attach.open() as stream:
                await stream.send_message(Frame())
                self.assertIsNone(await stream.recv_message())
                await stream.cancel()
            channel.close()
            self.assertEqual(["link.hello"], [p.step for p in entry.problems])
            self.assertTrue(entry.events.empty())
            await finish(server, entry)

        self.run_async(work())

    def test_a_peer_that_sends_no_hello_is_given_up_within_the_timeout(self) -> None:
        """The wait for the hello had a fixed timeout of its own, of 5 s."""

        async def work() -> None:
            agent = make_end("agent")
            release = asyncio.Event()

            async def accept(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                await release.wait()
                writer.close()

            listener = await asyncio.start_server(accept, HOST, 0)
            port = listener.sockets[0].getsockname()[1]
            dialler = Dialler(
                links=agent.links, hooks=agent.hooks(), hello_timeout_s=0.2
            )
            dialler.dial(f"{HOST}:{port}")
            async with asyncio.timeout(1.0):
                while not agent.problems:
                    await asyncio.sleep(0.02)
            self.assertEqual(["deadline"], [p.code.value for p in agent.problems])
            release.set()
            listener.close()
            await agent.links.close(1.0)

        self.run_async(work())

    def test_a_silent_peer_is_dropped(self) -> None:
        async def work() -> None:
            entry = make_end("entry", silence_timeout_s=0.2)
            server = await serve(entry)

            async def stay_silent(stream: Any) -> None:
                await entry.wait_for(LinkDown(peer="agent-raw"))

            await attach_raw(server, stay_silent)
            self.assertEqual(["deadline"], [p.code.value for p in entry.problems])
            await finish(server, entry)

        self.run_async(work())

    def test_a_dial_ends_although_the_transport_takes_no_more(self) -> None:
        """The end of the stream waited for a transport whose buffer was full.

        A host that is cut off while much is sent to it leaves it full until the system
        gives the connection up, minutes later. Until then no `DialEnded` came, and the
        host was not dialled again.
        """
        channels: list[Channel] = []

        def open_channel(*args: Any, **more: Any) -> Channel:
            channels.append(Channel(*args, **more))
            return channels[-1]

        self.patch(link_client, "Channel", open_channel)

        async def work() -> None:
            entry = make_end("entry", silence_timeout_s=0.3)
            agent = make_end("agent")
            server = await serve(agent)
            dialler = await dial(entry, server)
            await entry.wait_for(LinkUp(peer="agent", region="ege"))
            # As asyncio does once the buffer of the transport is full.
            channels[0]._protocol.pause_writing()  # type: ignore[union-attr]
            entry.links.send(Send(peer="agent", item=Offer(cell="1")))
            await entry.wait_for(LinkDown(peer="agent"))
            async with asyncio.timeout(LINK_EVENT_TIMEOUT_S):
                self.assertEqual(DialEnded, type(await entry.events.get()))
            await finish(server, agent, entry)
            self.assertIsNotNone(dialler)

        self.run_async(work())

    def test_a_queue_beyond_its_bound_closes_the_stream(self) -> None:
        self.patch(link_stream, "MAX_QUEUED_ITEMS", 10)

        async def work() -> None:
            entry, agent = make_end("entry"), make_end("agent")
            server = await serve(entry)
            dialler = await dial(agent, server)
            await agent.wait_for(LinkUp(peer="entry", region="ege"))
            for number in range(50):
                agent.links.send(Send(peer="entry", item=Offer(cell=str(number))))
            await agent.wait_for(LinkDown(peer="entry"))
            self.assertEqual(["link.send"], [p.step for p in agent.problems])
            await finish(server, agent, entry)
            self.assertIsNotNone(dialler)

        self.run_async(work())

    def test_a_newer_stream_of_a_peer_replaces_the_older(self) -> None:
        async def work() -> None:
            entry = make_end("entry")
            server = await serve(entry)

            async def replace(stream: Any) -> None:
                await entry.wait_for(LinkUp(peer="agent-raw", region="ege"))

                async def check(newer: Any) -> None:
                    await entry.wait_for(LinkDown(peer="agent-raw"))
                    await entry.wait_for(LinkUp(peer="agent-raw", region="ege"))
                    self.assertTrue(entry.links.has("agent-raw"))

                await attach_raw(server, check)

            await attach_raw(server, replace)
            await finish(server, entry)

        self.run_async(work())

    def test_tls_links_only_processes_of_the_same_authority(self) -> None:
        async def work() -> None:
            entry = make_end("entry")
            server = LinkServer(
                host=HOST,
                port=0,
                links=entry.links,
                hooks=entry.hooks(),
                tls=server_context(tls_settings("ours")),
            )
            await server.start()
            ends = {name: make_end(name) for name in ("ours", "theirs", "plain")}
            contexts = {
                "ours": client_context(tls_settings("ours")),
                "theirs": client_context(tls_settings("theirs")),
                "plain": None,
            }
            diallers = []
            for name, end in ends.items():
                dialler = Dialler(
                    links=end.links, hooks=end.hooks(), tls=contexts[name]
                )
                dialler.dial(f"{HOST}:{server.port}")
                diallers.append(dialler)
            await ends["ours"].wait_for(LinkUp(peer="entry", region="ege"))
            for name in ("theirs", "plain"):
                async with asyncio.timeout(LINK_EVENT_TIMEOUT_S):
                    self.assertEqual(DialEnded, type(await ends[name].events.get()))
            self.assertFalse(entry.links.has("theirs") or entry.links.has("plain"))
            await finish(server, *ends.values(), entry)

        self.run_async(work())
