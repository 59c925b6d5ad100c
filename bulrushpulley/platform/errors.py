"""The errors of calls to the platform, by whether the call may have had effect."""

from __future__ import annotations

from bulrushpulley.errors import BulrushpulleyError


class RefusedError(BulrushpulleyError):
    """The request was never sent or was refused; it has no effect."""


class BusyError(RefusedError):
    """The service is overloaded; the request has no effect."""


class NoListenerError(RefusedError):
    """No process listens at the address."""


class RejectedError(BulrushpulleyError):
    """The service rejects the request; it has no effect, even if it is repeated."""


class AnswerLostError(BulrushpulleyError):
    """No complete answer arrived; the request may still take effect or have done so."""
