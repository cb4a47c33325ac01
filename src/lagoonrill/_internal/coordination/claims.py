"""At-most-once execution: claims of idempotency keys and their outcomes.

`ClaimService` maps keys to shards of the claim log, runs one writer thread per shard in
use, and sends claims through a peer while the Object API is unreachable.
"""

import hashlib
import threading
import time
import uuid
from collections.abc import Callable

import msgspec
from logbook import Logger
from returns.result import Failure, Result, Success

from ..protocol.claim_errors import (
    CLAIM_ERRORS,
    ClaimError,
    ClaimInDoubt,
    ClaimNotMade,
    KeyReused,
    NoPeer,
    OutcomeKnown,
    OutcomeUnknown,
)
from ..protocol.claim_records import (
    LAYOUT_NAME,
    ClaimLayout,
    ClaimRecord,
    ClosedRecord,
    Outcome,
    OutcomeRecord,
    body_name,
)
from ..protocol.codec import from_json, to_json
from ..protocol.errors import PeerError
from ..protocol.messages import ClaimReply, ClaimRequest
from ..protocol.settings import ClaimSettings
from .circuit_breaker import CircuitBreaker, ObservedStore, Store
from .claim_decisions import OutcomeElsewhere
from .shard_writer import (
    INLINE_BODY_BYTES,
    Pending,
    ShardDump,
    ShardWriter,
)

log = Logger("claims")

KEY_DIGEST_BYTES = 16
PROBE_INTERVAL_S = 0.5
GARBAGE_INTERVAL_S = 0.1
WAIT_SLICE_S = 1.0
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
RECORD_WAIT_S = 2.0
STOP_FLUSH_S = 5.0
PEER_ATTEMPTS = 3
# The peer gets this share of the timeout, so that its reply arrives in time.
PEER_DEADLINE_SHARE = 0.8

AskPeer = Callable[[ClaimRequest, float], Result[ClaimReply, PeerError]]


class ClaimGrant(msgspec.Struct, kw_only=True, frozen=True):
    """Permits the process that holds it to dispatch a request once.

    Deadlines in this module are in `time.monotonic()` seconds.
    """

    team: str
    key_digest: bytes
    body_digest: bytes
    attempt_id: str
    deadline: float


class ClaimsDump(msgspec.Struct, kw_only=True):
    """State of the claim service for the state dump."""

    store_answers: bool
    times_opened: int
    shards: int | None
    unrecorded_outcomes: int
    waiting_for_layout: int
    results: dict[str, int]
    writers: list[ShardDump]


class UnrecordedOutcome(msgspec.Struct):
    """An outcome that has not been appended to the log yet."""

    body_digest: bytes
    outcome: Outcome


class ClaimService:
    """Claims keys so that each request runs at most once.

    >>> digest_body(b"order 7") == digest_body(b"order 7")
    True

    `ask_peer(request, timeout_s)` sends a `ClaimRequest` to a peer that may reach the
    store. It returns `NoPeer` if nothing was sent and any other `PeerError` if the
    reply was lost.
    """

    def __init__(
        self,
        *,
        store: Store,
        settings: ClaimSettings,
        instance: str,
        ask_peer: AskPeer | None = None,
        clock: Callable[[], float] = time.time,
    ):
        self.settings = settings
        self.instance = instance
        self.ask_peer = ask_peer or no_peer
        self.clock = clock
        self.breaker = CircuitBreaker(on_open=self._fail_queued)
        self.store = ObservedStore(store=store, breaker=self.breaker)
        self.condition = threading.Condition()
        self.shards: int | None = None
        self.writers: dict[int, ShardWriter] = {}
        self.threads: list[threading.Thread] = []
        self.awaiting_layout: list[Pending] = []
        self.unrecorded: dict[bytes, UnrecordedOutcome] = {}
        self.results: dict[str, int] = {}
        self.stopping = threading.Event()

    def start(self) -> None:
        """Starts the background threads; the store may still be unreachable."""
        self._start_thread("claims-layout", self._run_layout)
        self._start_thread("claims-probe", self._run_probe)
        self._start_thread("claims-garbage", self._run_garbage)

    def stop(self, *, flush_s: float = STOP_FLUSH_S) -> None:
        """Flushes the queued records for at most `flush_s` and stops the threads."""
        end = time.monotonic() + flush_s
        while self._has_work() and time.monotonic() < end:
            time.sleep(MIN_BACKOFF_S)
        self.stopping.set()
        for thread in list(self.threads):
            thread.join(max(0.1, end - time.monotonic()))

    def dump(self) -> ClaimsDump:
        """Returns the state for the state dump."""
        with self.condition:
            writers = [self.writers[shard] for shard in sorted(self.writers)]
            dump = ClaimsDump(
                store_answers=not self.breaker.open,
                times_opened=self.breaker.times_opened,
                shards=self.shards,
                unrecorded_outcomes=len(self.unrecorded),
                waiting_for_layout=len(self.awaiting_layout),
                results=dict(self.results),
                writers=[],
            )
        dump.writers = [writer.dump() for writer in writers]
        return dump

    def claim(
        self, *, team: str, key: str, body_digest: str, deadline: float
    ) -> Result[ClaimGrant, ClaimError]:
        """Claims a key; blocks until it is granted or refused or the deadline passes.

        `body_digest` is hexadecimal. The grant allows one dispatch; afterwards call
        `record_outcome`, or `close` if the request was not dispatched.
        """
        attempt_id = uuid.uuid4().hex
        grant = make_grant(team, key, body_digest, attempt_id, deadline)
        result = self._unrecorded_outcome(grant) or self._claim_locally(grant, own=True)
        if self._store_unreachable(result):
            result = self._claim_through_peer(grant, key, result.failure())
        return self._count_result(result)

    def serve(self, request: ClaimRequest) -> ClaimReply:
        """Appends a claim on behalf of a peer; only the peer may dispatch or close it.

        A retry with the same attempt id gets the same reply.
        """
        deadline = time.monotonic() + request.deadline_s
        grant = make_grant(
            request.team,
            request.key,
            request.body_digest,
            request.attempt_id,
            deadline,
        )
        result = self._unrecorded_outcome(grant) or self._claim_locally(
            grant, own=False
        )
        if isinstance(result, Success):
            return ClaimReply(kind="granted")
        return error_reply(result.failure())

    def record_outcome(
        self, grant: ClaimGrant, outcome: Outcome, *, wait_s: float = RECORD_WAIT_S
    ) -> Result[None, ClaimError]:
        """Records the answer of a dispatched request.

        Succeeds once the outcome is in the log. After `wait_s` the result is
        `ClaimInDoubt`, and the outcome is recorded once the store is reachable again.
        Retries on this instance receive the answer immediately.
        """
        body = outcome.body
        large = len(body) > INLINE_BODY_BYTES
        record = OutcomeRecord(
            grant.key_digest,
            grant.attempt_id,
            outcome.status,
            outcome.headers,
            b"" if large else body,
        )
        with self.condition:
            self.unrecorded[grant.key_digest] = UnrecordedOutcome(
                grant.body_digest, outcome
            )
        pending = Pending(record=record, upload=body if large else b"")
        pending.on_done = lambda: self._recorded(grant.key_digest)
        self._submit(pending)
        return self._wait_recorded(pending, wait_s)

    def close(
        self, grant: ClaimGrant, *, wait_s: float = RECORD_WAIT_S
    ) -> Result[None, ClaimError]:
        """Releases a grant whose request was not dispatched and never will be.

        Only on success may the caller be told `not_run`. Otherwise the close is retried
        until the store accepts it.
        """
        return self._wait_recorded(self._queue_close(grant), wait_s)

    # Claims through this instance's store connection.

    def _claim_locally(self, grant: ClaimGrant, *, own: bool) -> Result:
        writer = self._writer(grant)
        if writer is None:
            return Failure(ClaimNotMade(message="the Object API does not answer"))
        known = writer.known(grant.key_digest, grant.body_digest)
        if known is not None:
            return self._complete(grant, Failure(known))
        if self.breaker.open:
            return Failure(writer.refusal(grant.key_digest))
        record = ClaimRecord(grant.key_digest, grant.attempt_id, grant.body_digest, 0.0)
        pending = writer.submit(Pending(record=record, own=own))
        if self.breaker.open:
            # The breaker may have opened before the record was queued.
            writer.fail_queued()
        if not pending.done.wait(max(0.0, grant.deadline - time.monotonic())):
            return self._complete(grant, writer.abandon(pending))
        return self._complete(grant, pending.result)

    def _complete(self, grant: ClaimGrant, result: Result) -> Result:
        """Converts a writer's result into the result of the claim."""
        if isinstance(result, Success):
            return Success(grant)
        if isinstance(result.failure(), OutcomeElsewhere):
            return Failure(self._fetch_outcome(grant, result.failure().record))
        return result

    def _store_unreachable(self, result: Result) -> bool:
        """Returns whether a claim failed because the store is unreachable from here.

        `OutcomeUnknown` may come from stale local state; a peer may have newer entries.
        """
        if not self.breaker.open or isinstance(result, Success):
            return False
        return isinstance(result.failure(), ClaimNotMade | OutcomeUnknown)

    def _writer(self, grant: ClaimGrant) -> ShardWriter | None:
        """Waits for the layout and returns the writer of a grant's shard."""
        with self.condition:
            self.condition.wait_for(
                lambda: self.shards is not None or self.breaker.open,
                max(0.0, grant.deadline - time.monotonic()),
            )
            if self.shards is None:
                return None
            return self._shard_writer(shard_of(grant.key_digest, self.shards))

    def _shard_writer(self, shard: int) -> ShardWriter:
        writer = self.writers.get(shard)
        if writer is None:
            writer = ShardWriter(
                shard=shard,
                instance=self.instance,
                store=self.store,
                settings=self.settings,
                clock=self.clock,
            )
            self.writers[shard] = writer
            self._start_thread(f"claims-{shard}", lambda: self._run_writer(writer))
        return writer

    def _unrecorded_outcome(self, grant: ClaimGrant) -> Result | None:
        """Refuses a key whose outcome is known here but not in the log yet."""
        with self.condition:
            known = self.unrecorded.get(grant.key_digest)
        if known is None:
            return None
        if known.body_digest != grant.body_digest:
            return Failure(KeyReused(message="the key was used with another body"))
        return Failure(
            OutcomeKnown(message="the request has run", outcome=known.outcome)
        )

    def _fetch_outcome(self, grant: ClaimGrant, record: OutcomeRecord) -> ClaimError:
        """Reads a large body on a separate thread, to enforce the deadline."""
        found: list[Outcome] = []
        thread = threading.Thread(
            target=self._read_body, args=(grant, record, found), daemon=True
        )
        thread.start()
        thread.join(max(0.0, grant.deadline - time.monotonic()))
        if not found:
            return OutcomeUnknown(message="the recorded answer could not be read")
        return OutcomeKnown(message="the request has run", outcome=found[0])

    def _read_body(self, grant, record: OutcomeRecord, found: list[Outcome]) -> None:
        shard = shard_of(grant.key_digest, self.shards)
        parts = []
        for number in range(record.body_parts):
            name = body_name(shard, record.attempt_id, number)
            part = self.store.get(name).value_or(None)
            if part is None:
                return
            parts.append(part.value)
        found.append(
            Outcome(status=record.status, headers=record.headers, body=b"".join(parts))
        )

    # Claims through a peer.

    def _claim_through_peer(
        self, grant: ClaimGrant, key: str, refusal: ClaimError
    ) -> Result:
        """Asks a peer to append the claim.

        Retries carry the same attempt id, so a retry resolves a lost reply. If it does
        not, the claim may still be appended later: the result is `unknown`, and a close
        is queued that invalidates the attempt permanently. `refusal` is returned if no
        peer has a definite result.
        """
        lost = False
        for attempts_left in range(PEER_ATTEMPTS, 0, -1):
            timeout_s = (grant.deadline - time.monotonic()) / attempts_left
            if timeout_s <= 0:
                break
            result = self.ask_peer(claim_request(grant, key, timeout_s), timeout_s)
            if isinstance(result, Failure):
                if isinstance(result.failure(), NoPeer):
                    break
                lost = True
                continue
            if result.unwrap().kind == "granted":
                return Success(grant)
            error = reply_error(result.unwrap())
            lost = lost or isinstance(error, ClaimInDoubt)
            if not isinstance(error, ClaimInDoubt | ClaimNotMade):
                refusal = error
                break
        if lost:
            self._queue_close(grant)
        if lost and isinstance(refusal, ClaimNotMade):
            return Failure(ClaimInDoubt(message="a peer's reply was lost"))
        return Failure(refusal)

    def _queue_close(self, grant: ClaimGrant) -> Pending:
        record = ClosedRecord(grant.key_digest, grant.attempt_id, 0.0)
        return self._submit(Pending(record=record))

    # Records that are retried after the call has returned.

    def _submit(self, pending: Pending) -> Pending:
        """Queues a record with its shard's writer, or locally until a layout exists."""
        with self.condition:
            if self.shards is None:
                self.awaiting_layout.append(pending)
                return pending
            writer = self._shard_writer(shard_of(pending.record.key, self.shards))
        return writer.submit(pending)

    def _wait_recorded(self, pending: Pending, wait_s: float) -> Result:
        if pending.done.wait(wait_s):
            return pending.result
        return Failure(ClaimInDoubt(message="not in the log yet, still being tried"))

    def _recorded(self, key_digest: bytes) -> None:
        with self.condition:
            self.unrecorded.pop(key_digest, None)

    # Background threads.

    def _start_thread(self, name: str, target: Callable[[], None]) -> None:
        thread = threading.Thread(target=target, name=name, daemon=True)
        self.threads.append(thread)
        thread.start()

    def _run_writer(self, writer: ShardWriter) -> None:
        backoff_s = MIN_BACKOFF_S
        while not self.stopping.is_set():
            if not writer.wait_for_work(WAIT_SLICE_S):
                continue
            if self.breaker.open:
                # While the breaker is open, only the probe calls the store.
                writer.fail_queued()
                self.breaker.wait_closed(WAIT_SLICE_S)
                continue
            started = time.monotonic()
            if self._run_writer_once(writer):
                backoff_s = MIN_BACKOFF_S
                self._wait_append_interval(started)
                continue
            if self.breaker.open:
                continue
            self.stopping.wait(backoff_s)
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)

    def _run_writer_once(self, writer: ShardWriter) -> bool:
        try:
            return writer.run_once()
        except Exception:
            # The writer keeps its batch in flight; other shards are not affected.
            log.exception("unexpected error in shard {}; retrying", writer.shard)
            return False

    def _wait_append_interval(self, started: float) -> None:
        """Waits for the rest of the append interval."""
        left_s = started + self.settings.append_interval_s - time.monotonic()
        if left_s > 0:
            self.stopping.wait(left_s)

    def _run_layout(self) -> None:
        while not self.stopping.is_set():
            shards = self._read_layout()
            if shards is not None:
                self._set_layout(shards)
                return
            self.stopping.wait(PROBE_INTERVAL_S)

    def _read_layout(self) -> int | None:
        """Returns the number of shards; the first instance stores its own setting."""
        found = self.store.get(LAYOUT_NAME)
        if isinstance(found, Success) and found.unwrap() is None:
            value = to_json(ClaimLayout(shards=self.settings.shards))
            self.store.create(LAYOUT_NAME, value)
            # Another instance may have written it first, or the answer was lost.
            found = self.store.get(LAYOUT_NAME)
        layout = found.value_or(None)
        return None if layout is None else from_json(layout.value, ClaimLayout).shards

    def _set_layout(self, shards: int) -> None:
        with self.condition:
            self.shards = shards
            awaiting_layout, self.awaiting_layout = self.awaiting_layout, []
            self.condition.notify_all()
        for pending in awaiting_layout:
            self._submit(pending)

    def _run_probe(self) -> None:
        while not self.stopping.is_set():
            if self.breaker.wait_open(WAIT_SLICE_S):
                self.store.get(LAYOUT_NAME)
                self.stopping.wait(PROBE_INTERVAL_S)

    def _run_garbage(self) -> None:
        while not self.stopping.wait(GARBAGE_INTERVAL_S):
            with self.condition:
                writers = list(self.writers.values())
            if not self.breaker.open:
                all(writer.delete_garbage() for writer in writers)

    def _fail_queued(self) -> None:
        """Refuses all queued claims; called when the breaker opens."""
        with self.condition:
            writers = list(self.writers.values())
            self.condition.notify_all()
        for writer in writers:
            writer.fail_queued()

    def _has_work(self) -> bool:
        with self.condition:
            writers = list(self.writers.values())
        return any(writer.has_work() for writer in writers)

    def _count_result(self, result: Result) -> Result:
        granted = isinstance(result, Success)
        kind = "granted" if granted else result.failure().kind
        with self.condition:
            self.results[kind] = self.results.get(kind, 0) + 1
        return result


def no_peer(request: ClaimRequest, timeout_s: float) -> Result[ClaimReply, PeerError]:
    """Always fails with `NoPeer`; the default for a service without peers."""
    return Failure(NoPeer(message="no peer is known"))


def digest_body(body: bytes) -> str:
    """Returns the hexadecimal digest of a request body, for `ClaimService.claim`."""
    return hashlib.sha256(body).hexdigest()[: 2 * KEY_DIGEST_BYTES]


def digest_key(team: str, key: str) -> bytes:
    """Returns the digest of a team's key; the length prefix separates team and key.

    >>> digest_key("ab", "c") == digest_key("a", "bc")
    False
    """
    text = f"{len(team)}:{team}:{key}"
    return hashlib.sha256(text.encode()).digest()[:KEY_DIGEST_BYTES]


def shard_of(key_digest: bytes, shards: int) -> int:
    """Returns the shard of a key.

    >>> shard_of(bytes(15) + bytes([18]), 16)
    2
    """
    return int.from_bytes(key_digest[-8:], "big") % shards


def make_grant(
    team: str, key: str, body_digest: str, attempt_id: str, deadline: float
) -> ClaimGrant:
    """Returns the grant that an attempt receives once its claim is appended."""
    return ClaimGrant(
        team=team,
        key_digest=digest_key(team, key),
        body_digest=bytes.fromhex(body_digest),
        attempt_id=attempt_id,
        deadline=deadline,
    )


def claim_request(grant: ClaimGrant, key: str, timeout_s: float) -> ClaimRequest:
    """Returns the message that asks a peer to append a grant's claim."""
    return ClaimRequest(
        team=grant.team,
        key=key,
        body_digest=grant.body_digest.hex(),
        attempt_id=grant.attempt_id,
        deadline_s=timeout_s * PEER_DEADLINE_SHARE,
    )


def error_reply(error: ClaimError) -> ClaimReply:
    """Returns the reply to a peer whose claim was refused."""
    reply = ClaimReply(kind=error.kind, detail=error.message)
    if isinstance(error, OutcomeKnown):
        reply.status = error.outcome.status
        reply.headers = error.outcome.headers
        reply.body = error.outcome.body
    return reply


def reply_error(reply: ClaimReply) -> ClaimError:
    """Returns the error in a reply; an unknown kind is treated as in doubt."""
    if reply.kind == OutcomeKnown.kind:
        outcome = Outcome(status=reply.status, headers=reply.headers, body=reply.body)
        return OutcomeKnown(message=reply.detail, outcome=outcome)
    return CLAIM_ERRORS.get(reply.kind, ClaimInDoubt)(message=reply.detail)
