"""Load reports of endpoints and the errors of fetching them."""

import msgspec

from .errors import LagoonrillError


class LoadReport(msgspec.Struct, kw_only=True):
    """Response to `GET /load`; `age_s` is the age of the report when received."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    models: list[str] = []
    state: str = "live"
    age_s: float = 0.0


class LoadError(LagoonrillError):
    """An endpoint returned no usable load report."""


class EndpointRefused(LoadError):
    """The connection was refused; no process listens on the endpoint's address."""

    default_remedy = "Check that the endpoint runs at the URL in the manifest"


class EndpointSilent(LoadError):
    """The endpoint gave no valid answer before the timeout or closed the connection."""

    default_remedy = "Check the endpoint's load and the network to it"


class LoadUnsupported(LoadError):
    """The endpoint answers HTTP requests but does not serve load reports."""

    default_remedy = "Serve GET /load to let the router see the endpoint's load"
