"""Addresses of the form ``IPV4:PORT``."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of ``HOST:PORT``; raises `ValueError` without a port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def address_defect(address: str, *, min_port: int = 1) -> str:
    """Describe why an address cannot be dialled; empty if it can.

    Example::

        address_defect("10.0.0.9:8080")  # ""
        address_defect("10.0.0.9:99999")  # "the port must be from 1 to 65535"
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return "must be an IPv4 address and a port"
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not min_port <= int(port) <= MAX_PORT:
        return f"the port must be from {min_port} to {MAX_PORT}"
    return ""
