"""The entries' end of the links: takes the streams that agents open."""

from __future__ import annotations

import socket
import ssl
from typing import Any

from grpclib.server import Server

from bulrushpulley.wire.link_grpc import LinkBase
from bulrushpulley.wire.link_stream import (
    LinkHooks,
    LinkStream,
    receive_hello,
    send_hello,
    stream_problem,
)
from bulrushpulley.wire.links import Links

LISTEN_BACKLOG = 1_024


class LinkService(LinkBase):
    """The handler of the one method, `Attach`; a bad stream ends alone."""

    def __init__(self, *, links: Links, hooks: LinkHooks) -> None:
        self._links = links
        self._hooks = hooks

    async def Attach(self, stream: Any) -> None:  # noqa: N802
        """Run the link of one agent."""
        try:
            hello = await receive_hello(stream, "agent")
            await send_hello(stream, self._hooks)
        except Exception as error:
            self._hooks.report(stream_problem(error, "agent"))
            return
        link = LinkStream(
            peer=hello.peer, region=hello.region, stream=stream, hooks=self._hooks
        )
        await self._links.run(link)


class LinkServer:
    """The listener for the streams of agents, bound to `port` when constructed.

    Its methods run on the loop.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        links: Links,
        hooks: LinkHooks,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._listener = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self._service = LinkService(links=links, hooks=hooks)
        self._tls = tls
        self.port: int = self._listener.getsockname()[1]

    async def start(self) -> None:
        """Take the streams that agents open, those that wait already among them.

        The roles must be there before, since they are told of each stream once.
        """
        self._server = Server([self._service])
        await self._server.start(sock=self._listener, ssl=self._tls)

    async def close(self) -> None:
        """Stop listening and end every stream that is left."""
        self._server.close()
        await self._server.wait_closed()
