"""Resolves the route, team and time limit of an incoming request."""

import hashlib

import msgspec

from ..protocol.headers import (
    HeaderNames,
    RawHeaders,
    connection_options,
    first_value,
    parse_positive_int,
)
from ..protocol.refusals import Refusal
from ..protocol.routing import Route, RoutedTeam
from ..protocol.sse import event_number
from ..state.route_table import RouteTable, choose_service
from ..transport.caller_connection import IncomingRequest

# Subtracted from the remaining time sent to the endpoint, for the network round trip.
TIME_LIMIT_MARGIN_S = 0.005
MIN_TIME_LIMIT_MS = 1
FINGERPRINT_BYTES = 16


class RoutedRequest(msgspec.Struct, kw_only=True):
    """Request that is ready to be sent; times are on the monotonic clock."""

    id: str
    incoming: IncomingRequest
    route: Route
    service: str
    team: str | None
    # Priority for the engines, from 0 (highest) to 9 (lowest).
    priority: int
    # Forwarded headers; the router adds its own headers for each endpoint.
    headers: RawHeaders
    arrived_at: float
    # Deadline of the complete answer: the earlier of the caller's time limit and the
    # timeout of the route.
    deadline: float
    resume_after: int | None
    # Id of the request that brought the first event of a resumed stream.
    resumes: str | None = None
    config_version: int

    def header(self, name: str) -> str | None:
        return first_value(self.incoming.headers, name)

    def fingerprint(self) -> str:
        """Returns a digest that is the same for repeats of a request, and only for it.

        Headers are left out, since some change with each attempt. The team is the key,
        so that no caller can name the request of another team.
        """
        incoming = self.incoming
        host = (first_value(incoming.headers, "Host") or "").lower()
        team = (self.team or "").encode()
        key = hashlib.blake2b(team, digest_size=hashlib.blake2b.MAX_KEY_SIZE).digest()
        digest = hashlib.blake2b(key=key, digest_size=FINGERPRINT_BYTES)
        for part in (incoming.method, host.encode(), incoming.target, incoming.body):
            digest.update(len(part).to_bytes(8, "big"))
            digest.update(part)
        return digest.hexdigest()

    def headers_for(
        self, header_names: HeaderNames, *, endpoint: str, now: float
    ) -> RawHeaders:
        """Returns the headers for one endpoint, including the remaining time."""
        left_ms = int((self.deadline - now - TIME_LIMIT_MARGIN_S) * 1000)
        headers = [
            *self.headers,
            (
                header_names.time_limit_ms.encode(),
                b"%d" % max(MIN_TIME_LIMIT_MS, left_ms),
            ),
            (header_names.expected_endpoint.encode(), endpoint.encode()),
        ]
        if self.team is not None:
            headers.append((header_names.team.encode(), self.team.encode()))
        if self.route.uses_engine:
            rank = b"%d" % self.priority
            headers.append((header_names.priority.encode(), rank))
        if self.incoming.body or self.incoming.method not in (b"GET", b"HEAD"):
            length = b"%d" % len(self.incoming.body)
            headers.append((b"Content-Length", length))
        return headers


class RequestResolver:
    """Resolves incoming requests; rejects those without a matching route or team."""

    def __init__(self, *, header_names: HeaderNames):
        self.header_names = header_names
        self.stripped = header_names.stripped_from_callers()
        self.resume_name = header_names.resume_after.lower().encode()

    def accept(self, incoming: IncomingRequest, table: RouteTable) -> RoutedRequest:
        """Returns the routed request; raises `Refusal`."""
        header_names = self.header_names
        path = incoming.target.partition(b"?")[0].decode("latin-1")
        host = first_value(incoming.headers, "Host") or ""
        route = table.find(host, path)
        if route is None:
            raise Refusal(404, "no_route", remedy="Check the host and the path.")
        team = self._team(incoming, table, route)
        request_id = first_value(incoming.headers, header_names.request_id) or ""
        limit_ms = parse_positive_int(
            first_value(incoming.headers, header_names.time_limit_ms)
        )
        limit_s = route.timeout_s
        if limit_ms is not None:
            limit_s = min(limit_s, limit_ms / 1000)
        resume = first_value(incoming.headers, header_names.resume_after)
        # A stream goes on at the service that began it.
        origin = first_value(incoming.headers, header_names.resumes) if resume else None
        return RoutedRequest(
            id=request_id,
            incoming=incoming,
            route=route,
            service=choose_service(route, origin or request_id),
            team=team.name if team else None,
            priority=table.rank(route, team),
            headers=self._forwarded_headers(incoming),
            arrived_at=incoming.arrived_at,
            deadline=incoming.arrived_at + limit_s,
            resume_after=self._resume_after(resume, route),
            resumes=origin,
            config_version=table.config.version,
        )

    def accept_again(self, request: RoutedRequest, table: RouteTable) -> RoutedRequest:
        """Returns a request as the configuration in force routes it; raises `Refusal`.

        It stays at its service if its route still leads there, and gets no more time
        than it had.
        """
        if table.config.version == request.config_version:
            return request
        current = self.accept(request.incoming, table)
        services = current.route.services
        if any(
            item.service == request.service and item.weight > 0 for item in services
        ):
            current.service = request.service
        current.deadline = min(current.deadline, request.deadline)
        return current

    def _resume_after(self, text: str | None, route: Route) -> int | None:
        if not text:
            return None
        number = event_number(text.encode("latin-1"))
        if number is None and route.resumable:
            raise Refusal(
                400,
                "bad_event_number",
                remedy="Name the last event by its number, or begin a new stream.",
            )
        return number

    def _team(
        self, incoming: IncomingRequest, table: RouteTable, route: Route
    ) -> RoutedTeam | None:
        if table.config.teams is None:
            return None
        scheme, _, key = (
            first_value(incoming.headers, "Authorization") or ""
        ).partition(" ")
        matches = scheme.lower() == self.header_names.key_scheme.lower()
        team = table.team(key.strip()) if matches else None
        if team is None and not route.anonymous:
            raise Refusal(401, "unknown_key", remedy="Send a key of a known team.")
        return team

    def _forwarded_headers(self, incoming: IncomingRequest) -> RawHeaders:
        dropped = self.stripped | connection_options(incoming.headers)
        host = [
            (name, value) for name, value in incoming.headers if name.lower() == b"host"
        ]
        return host[:1] + [
            (name, value)
            for name, value in incoming.headers
            if name.lower() not in dropped
        ]
