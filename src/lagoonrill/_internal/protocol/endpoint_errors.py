"""Typed failures of a call to an endpoint: how far the call got."""

from .errors import LagoonrillError


class EndpointError(LagoonrillError):
    """A call to an endpoint failed; the subclass says how far it got."""

    default_remedy = "Use another endpoint if the request may be repeated"


class EndpointNotReached(EndpointError):
    """Nothing was sent: the connection was refused or not established in time."""


class EndpointInDoubt(EndpointError):
    """The request was sent, wholly or in part, and no answer arrived."""


class EndpointBroken(EndpointError):
    """The answer began and then broke off or violated the protocol."""


class EndpointRefused(EndpointError):
    """A streaming call was answered with an error status."""

    def __init__(self, *, message: str, status: int, body: bytes):
        super().__init__(message=message)
        self.status = status
        self.body = body
