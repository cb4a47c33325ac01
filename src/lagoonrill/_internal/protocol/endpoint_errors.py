"""Typed errors of calls to endpoints, by the stage that the call reached."""

from .errors import LagoonrillError


class EndpointError(LagoonrillError):
    """A call to an endpoint failed; the subclass indicates the stage."""

    default_remedy = "Use another endpoint if the request may be repeated"


class EndpointNotReached(EndpointError):
    """Connection refused or connect timeout; nothing was sent."""


class EndpointInDoubt(EndpointError):
    """The request was sent at least in part, and no response arrived."""


class EndpointBroken(EndpointError):
    """The response started and was then interrupted or violated the protocol."""


class EndpointRefused(EndpointError):
    """The endpoint answered a streaming call with an error status."""

    def __init__(self, *, message: str, status: int, body: bytes):
        super().__init__(message=message)
        self.status = status
        self.body = body
