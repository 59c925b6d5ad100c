"""The listening end of links: accepts the streams that peers open."""

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

LINK_LISTEN_BACKLOG = 1_024


class LinkService(LinkBase):
    """Handles `Attach`, the only method; an invalid stream does not affect others."""

    def __init__(self, *, links: Links, hooks: LinkHooks) -> None:
        self._links = links
        self._hooks = hooks

    async def Attach(self, stream: Any) -> None:  # noqa: N802
        """Run the link of one peer."""
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
    """The listener for the streams of peers, bound to `port` when constructed.

    Its methods run on the event loop.
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
        self._listener = socket.create_server((host, port), backlog=LINK_LISTEN_BACKLOG)
        self._service = LinkService(links=links, hooks=hooks)
        self._tls = tls
        self.port: int = self._listener.getsockname()[1]

    async def start(self) -> None:
        """Accept the streams that peers open, including those already waiting.

        The roles must exist before, since each stream is reported to them only once.
        """
        self._server = Server([self._service])
        await self._server.start(sock=self._listener, ssl=self._tls)

    async def close(self) -> None:
        """Stop listening and end all remaining streams."""
        self._server.close()
        await self._server.wait_closed()
