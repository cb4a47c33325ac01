"""Typed errors whose messages include a remedy.

Errors that are returned to a caller derive from `RequestError`. Each kind is registered
with its HTTP status and a `RunState`, which indicates whether the request was run:

>>> error = Overloaded(message="class counter has 200 waiting requests")
>>> error.kind, error.http_status, error.run.value
('overloaded', 503, 'not_run')
"""

import enum

REQUEST_ERRORS: dict[str, type["RequestError"]] = {}


class RunState(enum.StrEnum):
    """Whether a request was run, as far as the router knows."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class LagoonrillError(Exception):
    """Base class of all errors; `remedy` describes how to resolve the error."""

    default_remedy = ""

    def __init__(self, *, message: str, remedy: str = ""):
        super().__init__(message)
        self.message = message
        self.remedy = remedy or self.default_remedy

    def __str__(self) -> str:
        if not self.remedy:
            return self.message
        return f"{self.message}. {self.remedy}"


class ConfigError(LagoonrillError):
    """A settings file or a manifest is invalid.

    `key` is the path of the invalid key, for example `callers.port`.
    """

    def __init__(self, *, key: str, found: str, remedy: str):
        super().__init__(message=f"{key}: {found}", remedy=remedy)
        self.key = key
        self.found = found


class SettingsError(ConfigError):
    """A settings file is invalid."""


class ManifestError(ConfigError):
    """A manifest is invalid."""


class StoreError(LagoonrillError):
    """A call to the Object API failed; the subclass indicates the outcome."""


class StoreConflict(StoreError):
    """The precondition of a write failed; the write did not take effect."""

    default_remedy = "Read the object again and decide on its current version"


class StoreRejected(StoreError):
    """The store rejected the call; a write did not take effect.

    `status` is the HTTP status of the answer, 0 if unknown.
    """

    status = 0
    default_remedy = "Correct the call; the store's message names the reason"


class StoreUnavailable(StoreError):
    """The call was not sent, or the store says that it has done nothing.

    For example, the connection was refused.
    """

    default_remedy = "Try again when the Object API answers"


class StoreInDoubt(StoreError):
    """The call was sent but no response arrived; it may still take effect."""

    default_remedy = "Read back before deciding; repeat only an identical write"


class StoreCallInterrupted(StoreError):
    """The caller ended a pending call itself; it says nothing about the store."""

    default_remedy = "Ask again on a new connection"


class StoreHistoryGone(StoreRejected):
    """The store no longer holds the changes since the requested revision."""

    default_remedy = "List the objects again and follow from the list's revision"


class PeerError(LagoonrillError):
    """A peer did not answer a message before the timeout."""

    default_remedy = "Try another peer"


class PlatformError(LagoonrillError):
    """The Instance list did not answer, or its response was invalid."""

    default_remedy = "Check the Instance list's address; it is asked again"


class RequestError(LagoonrillError):
    """An error response to one request of a caller.

    `run` applies to this attempt. `covers_all_attempts` is set if the claim log shows
    that it also applies to earlier attempts with the same idempotency key.
    """

    kind = "internal"
    http_status = 500
    run = RunState.UNKNOWN
    covers_all_attempts = False

    def __init__(
        self,
        *,
        message: str,
        remedy: str = "",
        run: RunState | None = None,
        retry_after_s: float | None = None,
    ):
        super().__init__(message=message, remedy=remedy)
        self.run = run or type(self).run
        self.retry_after_s = retry_after_s


def request_error(kind: str, *, http_status: int, run: RunState = RunState.NOT_RUN):
    """Registers a `RequestError` subclass under a stable kind."""

    def register(cls: type[RequestError]) -> type[RequestError]:
        cls.kind = kind
        cls.http_status = http_status
        cls.run = run
        REQUEST_ERRORS[kind] = cls
        return cls

    return register


@request_error("bad_request", http_status=400)
class BadRequest(RequestError):
    default_remedy = "Correct the request as the message says"


@request_error("unauthorized", http_status=401)
class Unauthorized(RequestError):
    default_remedy = "Send a known team key as 'Authorization: Bearer <key>'"


@request_error("not_found", http_status=404)
class NotFound(RequestError):
    default_remedy = "Use a model, service or class that the manifest declares"


@request_error("too_large", http_status=413)
class TooLarge(RequestError):
    default_remedy = "Send a smaller request or ask an operator to raise the limit"


@request_error("key_missing", http_status=400)
class KeyMissing(RequestError):
    default_remedy = "Send an Idempotency-Key header with a fresh unique value"


@request_error("key_reused", http_status=422)
class KeyReused(RequestError):
    default_remedy = "Use a new Idempotency-Key for a request with another body"


@request_error("overloaded", http_status=503)
class Overloaded(RequestError):
    default_remedy = "Try again after the time in Retry-After"


@request_error("deadline", http_status=504)
class DeadlineExceeded(RequestError):
    default_remedy = "Try again after the time in Retry-After or allow more time"


@request_error("no_endpoint", http_status=503)
class NoEndpoint(RequestError):
    default_remedy = "Try again after the time in Retry-After"


@request_error("claims_unavailable", http_status=503)
class ClaimsUnavailable(RequestError):
    default_remedy = "Try again with the same Idempotency-Key after Retry-After"


@request_error("not_ready", http_status=503)
class NotReady(RequestError):
    default_remedy = "Try again; another instance may be ready"


@request_error("stopping", http_status=503)
class Stopping(RequestError):
    default_remedy = "Try again at once; another instance takes new requests"


@request_error("outcome_unknown", http_status=409, run=RunState.UNKNOWN)
class OutcomeUnknown(RequestError):
    default_remedy = "Repeat with the same Idempotency-Key to ask for the outcome"


@request_error("endpoint_failed", http_status=502, run=RunState.UNKNOWN)
class EndpointFailed(RequestError):
    default_remedy = "Try again; a call that is not repeatable needs the same key"


@request_error("truncated", http_status=502, run=RunState.RAN)
class Truncated(RequestError):
    default_remedy = "Discard the partial answer and try again"


@request_error("request_timeout", http_status=408)
class RequestTimeout(RequestError):
    default_remedy = "Send the whole request without pauses"
