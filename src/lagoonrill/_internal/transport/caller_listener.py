"""HTTP interface for callers: a CherryPy application on a cheroot server."""

import contextlib
import threading
import time
from http import HTTPStatus

import cherrypy
import logbook
from cherrypy import _cprequest

from ..coordination.active_request import ActiveRequest
from ..coordination.dispatch import Answer, CallerRequest, Dispatcher, error_body
from ..coordination.request_record import RequestRecord
from ..coordination.streams import CallerGone
from ..protocol.errors import (
    BadRequest,
    NotFound,
    RequestError,
    RequestTimeout,
    RunState,
    TooLarge,
)
from ..protocol.settings import CallerSettings
from ..state.metrics import Metrics
from .caller_server import CallerServer, refusal
from .caller_watch import CallerWatch

log = logbook.Logger("callers")

CHAT_PATH = "/v1/chat/completions"
SERVICE_PREFIX = "/services/"
READ_BYTES = 65_536
# Unread bodies up to this size are discarded to keep the connection open.
MAX_SKIPPED_BODY_BYTES = 65_536


class FrameworkRequest(_cprequest.Request):
    """A CherryPy request that passes the query string through in any encoding."""

    query_string_encoding = "latin-1"


class CallerListener:
    """Serves requests of callers until it is stopped."""

    def __init__(
        self,
        *,
        settings: CallerSettings,
        dispatcher: Dispatcher,
        metrics: Metrics | None = None,
    ):
        self.settings = settings
        self.metrics = metrics
        self.dispatcher = dispatcher
        self.watch = CallerWatch()
        self.server = CallerServer(
            settings=settings, application=self._application(), watch=self.watch
        )
        self.stopper = threading.Thread(target=self.server.stop, name="caller-stop")
        self.thread = threading.Thread(
            target=self.server.serve, name="caller-listener", daemon=True
        )

    @property
    def port(self) -> int:
        """Returns the bound port; it is known after `start`."""
        return self.server.bind_addr[1]

    def start(self) -> None:
        """Binds the socket and starts serving."""
        self.watch.start()
        self.server.prepare()
        self.thread.start()

    def refuse_new(self) -> None:
        """Stops accepting connections and returns; requests received are completed."""
        if not self.stopper.ident:
            self.stopper.start()
            self.thread.join()

    def stop(self) -> None:
        """Stops accepting connections and waits for all requests in flight."""
        self.refuse_new()
        self.stopper.join()
        self.watch.stop()
        while self.dispatcher.calls_in_background():
            time.sleep(0.02)

    def in_flight(self) -> int:
        """Returns the number of requests in flight."""
        return self.server.in_flight() + self.dispatcher.calls_in_background()

    def _application(self) -> cherrypy.Application:
        cherrypy.config.update({"log.screen": False})
        application = cherrypy.Application(
            None, "", {"/": {"request.dispatch": self._route}}
        )
        application.request_class = FrameworkRequest
        application.log.screen = False
        # The metrics write one log line for each request, so CherryPy writes none.
        application.log.access = lambda: None
        return application

    def _route(self, path_info: str) -> None:
        """Implements the dispatcher of CherryPy: all paths have the same handler."""
        request = cherrypy.serving.request
        request.config = {
            "request.process_request_body": False,
            "request.show_tracebacks": False,
            "error_page.default": framework_error,
            "response.stream": True,
        }
        request.handler = self._handle

    def _handle(self):
        """Handles one request and converts all errors to responses."""
        request = cherrypy.serving.request
        environ = request.wsgi_environ
        active_request = ActiveRequest(record=RequestRecord(metrics=self.metrics))
        request.hooks.attach("on_end_request", lambda: active_request.end("ok"))
        try:
            return self._respond(self._serve(environ, active_request))
        except RequestError as error:
            active_request.record.finish(error.kind)
            limit_to_attempt(error, environ)
            return self._refuse(environ, error)
        except CallerGone:
            active_request.record.finish("cancelled")
            environ["lagoonrill.request"].close_connection = True
            return self._respond(Answer(status=499))
        except Exception:
            active_request.record.finish("internal")
            log.exception("unexpected error while handling a request")
            message = "the router failed to answer"
            return self._refuse(environ, RequestError(message=message))

    def _serve(self, environ: dict, active_request: ActiveRequest) -> Answer:
        arrived_at = time.monotonic()
        team = self.dispatcher.authenticate(environ.get("HTTP_AUTHORIZATION"))
        path, _, query = environ["REQUEST_URI"].partition("?")
        method = environ["REQUEST_METHOD"]
        is_chat = path == CHAT_PATH
        if not is_chat and not path.startswith(SERVICE_PREFIX):
            raise NotFound(message=f"there is nothing at {path}")
        if is_chat and method != "POST":
            raise BadRequest(message=f"{CHAT_PATH} takes POST only")
        deadline = arrived_at + self._deadline_s(environ)
        body = self._read_body(environ)
        request = CallerRequest(
            team=team,
            method=method,
            path=path,
            query=query,
            headers=header_names(environ),
            body=body,
            arrived_at=arrived_at,
            deadline=deadline,
        )
        sock = environ["lagoonrill.request"].conn.socket
        sock.settimeout(self.settings.slow_client_timeout_s)
        self.watch.add(sock, active_request)
        cherrypy.serving.request.hooks.attach(
            "on_end_request", lambda: self.watch.remove(sock)
        )
        if is_chat:
            return self.dispatcher.chat(request, active_request)
        service, slash, rest = path.removeprefix(SERVICE_PREFIX).partition("/")
        request.path = slash + rest or "/"
        return self.dispatcher.service(service, request, active_request)

    def _deadline_s(self, environ: dict) -> float:
        value = environ.get("HTTP_X_DEADLINE_MS")
        if value is None:
            return self.settings.default_deadline_s
        if not (value.isascii() and value.isdigit() and 0 < int(value) < 10**9):
            message = f"X-Deadline-Ms is {value[:20]!r}, not a number of milliseconds"
            raise BadRequest(message=message)
        return int(value) / 1000

    def _read_body(self, environ: dict) -> bytes:
        limit = self.settings.max_body_bytes
        request = environ["lagoonrill.request"]
        declared = int(environ.get("CONTENT_LENGTH") or 0)
        if declared < 0:
            raise BadRequest(message="Content-Length is negative")
        if declared > limit:
            message = f"the body has {declared} bytes; the limit is {limit}"
            raise TooLarge(message=message)
        sock = request.conn.socket
        self.watch.expect_request(sock, self.settings.request_timeout_s)
        body = bytearray()
        try:
            while received := environ["wsgi.input"].read(READ_BYTES):
                body += received
                if len(body) > limit:
                    raise TooLarge(message=f"the body is larger than {limit} bytes")
        except (TimeoutError, ValueError) as error:
            message = f"the body did not arrive: {error}"
            raise RequestTimeout(message=message) from error
        finally:
            in_time = self.watch.request_received(sock)
        if not in_time:
            raise RequestTimeout(message="the body did not arrive in time")
        if not request.chunked_read and len(body) < declared:
            raise CallerGone
        return bytes(body)

    def _respond(self, answer: Answer):
        response = cherrypy.serving.response
        response.status = answer.status
        for name, value in answer.headers:
            response.headers[name] = value
        response.headers["Content-Type"] = answer.content_type
        if isinstance(answer.body, bytes):
            response.stream = False
        else:
            environ = cherrypy.serving.request.wsgi_environ
            environ["lagoonrill.request"].events = answer.body
        return answer.body

    def _refuse(self, environ: dict, error: RequestError):
        """Returns the JSON form of an error."""
        request = environ["lagoonrill.request"]
        remaining = getattr(request.rfile, "remaining", 0)
        if remaining > MAX_SKIPPED_BODY_BYTES or request.chunked_read:
            request.close_connection = True
            request.conn.has_unread_input = True
        headers = []
        if error.retry_after_s is not None:
            headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
        answer = Answer(
            status=error.http_status, headers=headers, body=error_body(error)
        )
        return self._respond(answer)


def limit_to_attempt(error: RequestError, environ: dict) -> None:
    """Changes `not_run` to `unknown` if an earlier attempt may have run.

    This instance has no record of earlier attempts unless it read the claim log. The
    caller sends `X-First-Attempt: true` to state that there was no earlier attempt.
    """
    if "HTTP_IDEMPOTENCY_KEY" not in environ or error.covers_all_attempts:
        return
    first = environ.get("HTTP_X_FIRST_ATTEMPT", "").strip().lower() == "true"
    if error.run is RunState.NOT_RUN and not first:
        error.run = RunState.UNKNOWN


def header_names(environ: dict) -> dict[str, str]:
    """Returns the headers of a request, keyed by lower-case name."""
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if "CONTENT_TYPE" in environ:
        headers["content-type"] = environ["CONTENT_TYPE"]
    return headers


def framework_error(*, status: str, message: str, **_) -> bytes:
    """Returns the JSON body for an error that CherryPy raised."""
    cherrypy.serving.response.headers["Content-Type"] = "application/json"
    with contextlib.suppress(ValueError):
        status = f"{int(status[:3])} {HTTPStatus(int(status[:3])).phrase}"
    error = refusal(status, message)
    limit_to_attempt(error, cherrypy.serving.request.wsgi_environ)
    return error_body(error)
