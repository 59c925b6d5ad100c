"""TLS contexts of links: both sides present certificates of the same authority."""

from __future__ import annotations

import ssl

from bulrushpulley.settings import TlsSettings

HTTP2 = "h2"


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return the context of a listener that requires client certificates."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    return _load(context, tls)


def client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return the context of a dialler.

    Host names are not checked, since peers are known by address.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _load(context, tls)


def _load(context: ssl.SSLContext, tls: TlsSettings) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.key)
    context.load_verify_locations(tls.ca)
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols([HTTP2])
    return context
