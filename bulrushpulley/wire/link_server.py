"""The entries' end of the links: takes the streams that agents open."""

from __future__ import annotations

import ssl
from typing import Any

from grpclib.server import Server

from bulrushpulley.errors import BulrushpulleyError, Code, Problem
from bulrushpulley.wire.link_grpc import LinkBase
from bulrushpulley.wire.link_stream import (
    LinkHooks,
    LinkStream,
    receive_hello,
    send_hello,
)
from bulrushpulley.wire.links import Links


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
        except BulrushpulleyError as error:
            self._hooks.report(error.problem)
            return
        except Exception as error:
            self._hooks.report(_hello_failed(error))
            return
        link = LinkStream(
            peer=hello.peer, region=hello.region, stream=stream, hooks=self._hooks
        )
        await self._links.run(link)


def _hello_failed(error: Exception) -> Problem:
    detail = f"{type(error).__name__}: {error}"
    return Problem(
        code=Code.UNAVAILABLE, step="link.hello", peer="agent", detail=detail
    )


async def serve_links(
    *,
    host: str,
    port: int,
    links: Links,
    hooks: LinkHooks,
    tls: ssl.SSLContext | None = None,
) -> Server:
    """Listen for agents; the server runs until it is closed."""
    server = Server([LinkService(links=links, hooks=hooks)])
    await server.start(host, port, ssl=tls)
    return server
