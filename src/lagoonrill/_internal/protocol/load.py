"""Load reports of endpoints and the errors of asking for one."""

import msgspec

from .errors import LagoonrillError


class LoadReport(msgspec.Struct, kw_only=True):
    """Answer to `GET /load`; `age_s` is the report's age when it was received."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    models: list[str] = []
    state: str = "live"
    age_s: float = 0.0


class LoadError(LagoonrillError):
    """An endpoint gave no usable load report."""


class EndpointRefused(LoadError):
    """The connection was refused: nothing listens at the endpoint's address."""

    default_remedy = "Check that the endpoint runs at the URL in the manifest"


class EndpointSilent(LoadError):
    """The endpoint did not answer in time or broke the connection."""

    default_remedy = "Check the endpoint's load and the network to it"


class LoadUnsupported(LoadError):
    """The endpoint answers HTTP but has no load report."""

    default_remedy = "Serve GET /load to let the router see the endpoint's load"
