"""The dialling end of links: opens a stream to an address and runs it."""

from __future__ import annotations

import asyncio
import ssl
from typing import Any

from grpclib.client import Channel

from bulrushpulley.entities.linker_tables import DialEnded, DialLinked
from bulrushpulley.errors import Code
from bulrushpulley.wire.link_grpc import LinkStub
from bulrushpulley.wire.link_stream import (
    HELLO_TIMEOUT_S,
    LinkHooks,
    LinkStream,
    link_error,
    receive_hello,
    send_hello,
    stream_problem,
)
from bulrushpulley.wire.links import Links

CANCEL_TIMEOUT_S = 0.2


class Dialler:
    """Opens streams to peers; the hooks receive `DialLinked` and `DialEnded`.

    `hello_timeout_s` limits connecting, sending the hello and receiving that of the
    peer together.
    """

    def __init__(
        self,
        *,
        links: Links,
        hooks: LinkHooks,
        tls: ssl.SSLContext | None = None,
        hello_timeout_s: float = HELLO_TIMEOUT_S,
    ) -> None:
        self._hello_timeout_s = hello_timeout_s
        self._links = links
        self._hooks = hooks
        self._tls = tls
        self._tasks: set[asyncio.Task[None]] = set()

    def dial(self, address: str) -> None:
        """Start one attempt on the event loop's thread; it ends with a `DialEnded`."""
        task = asyncio.ensure_future(self._dial(address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, address: str) -> None:
        problem = None
        try:
            await self._run_link(address)
        except Exception as error:
            problem = stream_problem(error, address)
            self._hooks.report(problem)
        self._hooks.receive(DialEnded(address=address, problem=problem))

    async def _run_link(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        channel = Channel(host, int(port), ssl=self._tls)
        try:
            async with LinkStub(channel).Attach.open() as stream:
                link = await self._exchange_hellos(stream, address)
                self._hooks.receive(DialLinked(address=address))
                await self._links.run(link)
                # A transport whose buffer is full takes nothing more until the system
                # gives the connection up; the attempt has to end before.
                async with asyncio.timeout(CANCEL_TIMEOUT_S):
                    await stream.cancel()
        finally:
            channel.close()

    async def _exchange_hellos(self, stream: Any, address: str) -> LinkStream:
        async with asyncio.timeout(self._hello_timeout_s):
            await stream.send_request()
            await send_hello(stream, self._hooks)
            hello = await receive_hello(stream, address)
        if self._links.has(hello.peer):
            raise link_error(
                code=Code.CONFLICT,
                step="link.hello",
                peer=address,
                detail=f"already linked to {hello.peer}",
            )
        return LinkStream(
            peer=hello.peer, region=hello.region, stream=stream, hooks=self._hooks
        )
