"""HTTP interface for operators: health, readiness, metrics, state dump and drain."""

import hashlib
import hmac
import threading
from collections.abc import Callable

import cherrypy
import logbook
import msgspec
from cheroot import wsgi

from ..protocol.codec import to_json
from ..protocol.settings import OperatorSettings

log = logbook.Logger("operators")

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Digests cannot be reversed, but a state dump does not need them either.
HIDDEN_FIELDS = frozenset({"key_digest", "key_digests", "public_key", "secret_key"})


class ErrorBody(msgspec.Struct, kw_only=True):
    """The content of an error response."""

    kind: str
    message: str


class ErrorResponse(msgspec.Struct, kw_only=True):
    """The JSON object of an error response."""

    error: ErrorBody


class Readiness(msgspec.Struct, kw_only=True):
    """The response to `/ready`."""

    ready: bool
    reasons: list[str]


def _json(value: object, status: int = 200) -> bytes:
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    return to_json(value, pretty=True)


def _error_page(status: str, message: str, **_details) -> bytes:
    kind = status.partition(" ")[2].lower().replace(" ", "_")
    cherrypy.response.headers["Content-Type"] = "application/json"
    return to_json(ErrorResponse(error=ErrorBody(kind=kind, message=message)))


def _without_keys(value: object) -> object:
    if isinstance(value, dict):
        return {
            name: _without_keys(item)
            for name, item in value.items()
            if name not in HIDDEN_FIELDS
        }
    if isinstance(value, list):
        return [_without_keys(item) for item in value]
    return value


class OperatorPages:
    """Request handlers; CherryPy maps each path to the method of the same name."""

    def __init__(self, *, listener: "OperatorListener"):
        self.listener = listener

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET", "HEAD"])
    def health(self) -> bytes:
        """Returns 200 while the process serves."""
        return _json({"healthy": True})

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET", "HEAD"])
    def ready(self) -> bytes:
        """Returns 200, or 503 with the reasons."""
        reasons = [reason for check in self.listener.readiness if (reason := check())]
        status = 503 if reasons else 200
        return _json(Readiness(ready=not reasons, reasons=reasons), status)

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def metrics(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        self.listener.require_key()
        cherrypy.response.headers["Content-Type"] = METRICS_CONTENT_TYPE
        return b"".join(source() for source in self.listener.metrics)

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["GET"])
    def dump(self) -> bytes:
        """Returns the state of each component, with an error for each failed dump."""
        self.listener.require_key()
        return _json(
            {name: _dump_one(name, dump) for name, dump in self.listener.dumps.items()}
        )

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def drain(self) -> bytes:
        """Requests a graceful shutdown and returns at once."""
        self.listener.require_key()
        self.listener.drain("drain by an operator")
        return _json({"draining": True}, 202)


def _dump_one(name: str, dump: Callable[[], object]) -> object:
    try:
        return _without_keys(msgspec.to_builtins(dump(), str_keys=True))
    except Exception as error:
        log.exception("state dump of {} failed", name)
        return {"error": str(error)}


class OperatorListener:
    """Serves operators on a cheroot server with the limits of the settings.

    Each check in `readiness` returns the reason for not being ready, or an empty
    string. `dumps` maps component names to their `dump` methods. `metrics` sources
    return text in the Prometheus format. `drain` takes a reason and must not block.
    """

    def __init__(
        self,
        *,
        settings: OperatorSettings,
        readiness: list[Callable[[], str]],
        metrics: list[Callable[[], bytes]],
        dumps: dict[str, Callable[[], object]],
        drain: Callable[[str], None],
    ):
        self.settings = settings
        self.readiness = readiness
        self.metrics = metrics
        self.dumps = dumps
        self.drain = drain
        self.refused_keys = 0
        self.server = self._server()
        self.thread = threading.Thread(
            target=self._serve, name="operator-listener", daemon=True
        )

    @property
    def port(self) -> int:
        """Returns the bound port; it differs from the settings only if they say 0."""
        return self.server.bind_addr[1]

    def start(self) -> None:
        """Binds the socket and serves; raises `OSError` if the address is in use."""
        self.server.prepare()
        self.thread.start()

    def stop(self) -> None:
        """Stops the server and closes the socket."""
        self.server.stop()
        if self.thread.ident is not None:
            self.thread.join()

    def require_key(self) -> None:
        """Raises an `HTTPError` with 401 unless the request has the operator key."""
        scheme, _, key = cherrypy.request.headers.get("Authorization", "").partition(
            " "
        )
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        known = self.settings.key_digest.lower()
        same = hmac.compare_digest(digest.encode(), known.encode())
        if scheme.lower() != "bearer" or not same:
            self.refused_keys += 1
            raise cherrypy.HTTPError(
                401, "Send the operator key as a bearer token in Authorization"
            )

    def _server(self) -> wsgi.Server:
        settings = self.settings
        server = wsgi.Server(
            (settings.host, settings.port),
            self._application(),
            numthreads=settings.threads,
            max=settings.threads,
            timeout=settings.idle_timeout_s,
            server_name="lagoonrill",
        )
        server.max_request_body_size = settings.max_body_bytes
        server.max_request_header_size = settings.max_header_bytes
        server.error_log = self._log_server_error
        return server

    def _application(self) -> cherrypy.Application:
        config = {
            "/": {
                "error_page.default": _error_page,
                "request.show_tracebacks": False,
                "tools.encode.on": False,
                "tools.trailing_slash.on": False,
                "response.headers.server": "lagoonrill",
            }
        }
        application = cherrypy.Application(
            OperatorPages(listener=self), script_name="", config=config
        )
        application.log.screen = False
        application.log.access_log.disabled = True
        return application

    def _serve(self) -> None:
        try:
            self.server.serve()
        except Exception:
            log.exception("the listener for operators failed")

    def _log_server_error(self, message: str = "", level: int = 20, **_) -> None:
        log.debug("server: {}", message)
