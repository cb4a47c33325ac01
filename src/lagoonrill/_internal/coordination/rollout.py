"""Manifest rollout in the daemon: staging, activation, confirmation and status."""

import random
import threading
import time
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from .. import logs
from ..protocol.codec import from_json, to_json
from ..protocol.errors import (
    ConfigError,
    StoreConflict,
    StoreError,
    StoreRejected,
)
from ..protocol.manifest import Manifest, check_manifest
from ..protocol.messages import GenerationReply, GenerationRequest
from ..protocol.objects import (
    COMMITTED_NAME,
    CONFIG_MARK_NAME,
    CONFIG_PREFIX,
    PROPOSAL_NAME,
    STATUS_PREFIX,
    ConfigRecord,
    InstanceStatus,
    ProposalHeader,
    VersionedObject,
)
from ..state.generation import (
    MAX_UNCONFIRMED_PAUSE_S,
    TICK_INTERVAL_S,
    GenerationDump,
    GenerationState,
    PauseDetector,
    PauseDump,
)

logger = logs.get_logger("rollout")

POLL_INTERVAL_S = 2.0
# A full poll reads both objects even if the mark did not change, because a writer may
# have crashed between changing an object and updating the mark.
FULL_POLL_INTERVAL_S = 30.0
# With 410 teams and 600 endpoints the manifest has 141 kB. Read every 30 s, it would
# use 4.7 KB/s of a daemon's budget of 13 KB/s, so large manifests are read less often.
FULL_POLL_BYTES_PER_S = 1_000
PEER_CHECK_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 1.0
STATUS_CHECK_INTERVAL_S = 0.5
# At this interval, 390 daemons make 39 writes/s, a tenth of the store's budget.
STATUS_REFRESH_S = 10.0
RETRY_INTERVAL_S = 0.5
# Prevents a busy loop if the store answers watches immediately.
MIN_WATCH_S = 0.05
JOIN_TIMEOUT_S = 2.0


class Readiness(msgspec.Struct, kw_only=True):
    """Whether the instance may serve new requests, and if not, the reason."""

    ready: bool
    reason: str = ""


class RolloutDump(msgspec.Struct, kw_only=True):
    """State of `Rollout` for the state dump."""

    readiness: Readiness
    started_from: str
    staged_proposal: str
    refused_proposal: str
    refused_reason: str
    status_version: int
    status_error: str
    generation: GenerationDump
    pause: PauseDump


def status_name(zone: str, instance: str) -> str:
    """Returns the name of an instance's status object."""
    return f"{STATUS_PREFIX}{zone}/{instance}"


class Rollout:
    """Synchronizes this instance's manifest with the committed one.

    `stage_checks` validate a proposed manifest; a `ConfigError` from one of them
    refuses the proposal. The step methods (`watch_once`, `poll_store`, `check_peers`,
    `confirm`, `write_status`) run one iteration each; the threads repeat them, and
    tests call them directly.
    """

    def __init__(
        self,
        *,
        instance: str,
        zone: str,
        store,
        membership,
        generations: GenerationState,
        watch_wait_s: float = 20.0,
        pauses: PauseDetector | None = None,
        stage_checks: tuple[Callable[[Manifest], None], ...] = (check_manifest,),
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        self.instance = instance
        self.zone = zone
        self.store = store
        self.membership = membership
        self.generations = generations
        self.watch_wait_s = watch_wait_s
        self.pauses = pauses or PauseDetector()
        self.stage_checks = stage_checks
        self.clock = clock
        self.wall_clock = wall_clock
        self._lock = threading.Lock()
        self._started_from = ""
        self._unconfirmed_reason = "the generation in force has not been looked up yet"
        self._tried_pause_count = 0
        self._staged_proposal = ""
        self._refused_proposal = ""
        self._refused_reason = ""
        self._unreadable_reason = ""
        self._revision = 0
        self._mark_version = -1
        self._full_poll_at = float("-inf")
        self._full_poll_bytes = 0
        # None if unknown, 0 if the object does not exist.
        self._status_version: int | None = None
        self._reported: InstanceStatus | None = None
        self._reported_at = float("-inf")
        self._status_error = ""
        self._stopping = threading.Event()
        self._confirm_requested = threading.Event()
        self._status_requested = threading.Event()
        self._threads: list[threading.Thread] = []
        membership.register_handler(GenerationRequest, self.answer_generation_request)
        generations.subscribe(lambda record: self._status_requested.set())

    # Threads

    def start(self) -> None:
        """Starts the threads; `ready` reports when the generation is known."""
        loops = {
            "ticker": self._run_ticker,
            "sources": self._run_sources,
            "watch": self._run_watch,
            "poll": self._run_poll,
            "status": self._run_status,
        }
        for name, loop in loops.items():
            thread = threading.Thread(
                target=self._repeat, args=(loop,), name=f"rollout-{name}", daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Stops the threads and removes the status object.

        Call this after the last request has ended: without the status object, a rollout
        stops waiting for this instance once the Instance list has dropped it.
        """
        self._stopping.set()
        self._confirm_requested.set()
        self._status_requested.set()
        deadline = time.monotonic() + JOIN_TIMEOUT_S
        for thread in self._threads:
            # A watch in progress may exceed the timeout; its thread is a daemon thread.
            thread.join(max(0.0, deadline - time.monotonic()))
        self._remove_status()

    def _repeat(self, run_iteration: Callable[[], None]) -> None:
        """Runs iterations until the stop; unexpected errors do not end the thread."""
        while not self._stopping.is_set():
            try:
                run_iteration()
            except Exception:
                logger.exception("unexpected error; retrying")
                self._stopping.wait(_jittered(RETRY_INTERVAL_S))

    def _run_ticker(self) -> None:
        self.tick()
        self._stopping.wait(TICK_INTERVAL_S)

    def _run_sources(self) -> None:
        if self._needs_confirmation():
            confirmed = self.confirm()
            pause_s = PEER_CHECK_INTERVAL_S if confirmed else RETRY_INTERVAL_S
        else:
            self.check_peers()
            pause_s = PEER_CHECK_INTERVAL_S
        self._confirm_requested.wait(pause_s)
        self._confirm_requested.clear()

    def _run_watch(self) -> None:
        started_at = time.monotonic()
        if isinstance(self.watch_once(self.watch_wait_s), Failure):
            self._stopping.wait(_jittered(RETRY_INTERVAL_S))
        elif time.monotonic() - started_at < MIN_WATCH_S:
            self._stopping.wait(MIN_WATCH_S)

    def _run_poll(self) -> None:
        self._stopping.wait(_jittered(POLL_INTERVAL_S))
        self.poll_store()

    def _run_status(self) -> None:
        if self.status_is_due() and not self.write_status():
            self._stopping.wait(_jittered(RETRY_INTERVAL_S))
        self._status_requested.wait(STATUS_CHECK_INTERVAL_S)
        self._status_requested.clear()

    # Readiness and confirmation

    def ready(self) -> Readiness:
        """Returns whether new requests may be served; called for every request."""
        pause_s = self.pauses.unconfirmed_pause_s()
        pause_count = self.pauses.pause_count()
        with self._lock:
            if not self._started_from:
                return Readiness(ready=False, reason=self._unconfirmed_reason)
            tried = self._tried_pause_count == pause_count
            reason = self._unconfirmed_reason
        if pause_s >= MAX_UNCONFIRMED_PAUSE_S or (pause_s and not tried):
            self._confirm_requested.set()
            reason = reason if tried else "confirmation has not been tried yet"
            message = f"paused for {pause_s:.1f} s and not confirmed: {reason}"
            return Readiness(ready=False, reason=message)
        if self.generations.current() is None:
            return Readiness(ready=False, reason="no manifest has been committed yet")
        return Readiness(ready=True)

    def tick(self) -> None:
        """Updates the pause detector; requests a confirmation after a pause."""
        if self.pauses.tick():
            self._confirm_requested.set()

    def _needs_confirmation(self) -> bool:
        with self._lock:
            started = bool(self._started_from)
        return not started or self.pauses.unconfirmed_pause_s() > 0

    def confirm(self) -> bool:
        """Takes the highest generation from the store or, if that fails, from peers.

        Returns False and records the reason if no source was reachable.
        """
        pause_count = self.pauses.pause_count()
        with self._lock:
            started = bool(self._started_from)
        if not started or self.pauses.unconfirmed_pause_s() >= (
            MAX_UNCONFIRMED_PAUSE_S
        ):
            # A rollout may not know this instance. If the status is written before the
            # read, the rollout either waits for this instance or was committed before
            # the read, which then returns it.
            self.write_status()
        source, reason = self._query_sources()
        if not source:
            return self._not_confirmed(pause_count, reason)
        with self._lock:
            first = not self._started_from
            self._started_from = self._started_from or source
            self._unconfirmed_reason = ""
            self._tried_pause_count = pause_count
        confirmed = self.pauses.confirm(pause_count)
        generation = self.generations.generation()
        if first or pause_count:
            logger.info("generation {} confirmed by {}", generation, source)
        self._status_requested.set()
        return confirmed

    def _not_confirmed(self, pause_count: int, reason: str) -> bool:
        with self._lock:
            changed = reason != self._unconfirmed_reason
            self._unconfirmed_reason = reason
            self._tried_pause_count = pause_count
        if changed:
            logger.warning("generation not confirmed: {}", reason)
        return False

    def _query_sources(self) -> tuple[str, str]:
        """Returns the name of a source that answered, or an empty string and why."""
        match self.store.get(COMMITTED_NAME):
            case Success(None):
                return "the Object API", ""
            case Success(found):
                if self._offer_committed(found):
                    return "the Object API", ""
                with self._lock:
                    store_reason = self._unreadable_reason
            case Failure(error):
                store_reason = f"Object API: {error.message}"
        answers = self._query_peers(self.membership.live_peers())
        if answers:
            return f"peer {answers[0]}", ""
        return "", f"{store_reason}; no peer answered with its generation"

    def _query_peers(self, peers: list) -> list[str]:
        """Requests newer generations from peers; returns the peers that answered."""
        return [peer.instance for peer in peers if self._query_peer(peer.instance)]

    def _query_peer(self, instance: str) -> bool:
        request = GenerationRequest(newer_than=self.generations.generation())
        match self.membership.request(instance, request, PEER_TIMEOUT_S):
            case Success(GenerationReply(record=record)):
                if record is not None:
                    self._offer(record, f"peer {instance}")
                return True
        return False

    def check_peers(self) -> None:
        """Fetches the manifest of a peer that reports a higher generation."""
        current = self.generations.generation()
        peers = self.membership.live_peers()
        newer = [peer for peer in peers if peer.generation > current]
        newer.sort(key=lambda peer: peer.generation, reverse=True)
        for peer in newer:
            self.fetch_peer_generation(peer.instance, peer.generation)

    def fetch_peer_generation(self, instance: str, generation: int) -> None:
        """Fetches the manifest of a peer whose heartbeat shows a higher generation.

        Blocks on a request to the peer, so it must not run on a receiving thread.
        """
        if generation > self.generations.generation():
            self._query_peer(instance)

    def answer_generation_request(
        self, request: GenerationRequest
    ) -> GenerationReply | None:
        """Replies to a peer; None (no reply) while this instance is unconfirmed itself.

        An instance that has just resumed after a pause may hold a stale generation, and
        the peer would count its reply as a confirmation.
        """
        if self._needs_confirmation():
            return None
        record = self.generations.current()
        if record is not None and record.generation <= request.newer_than:
            record = None
        return GenerationReply(record=record)

    # Objects of the store

    def watch_once(self, wait_s: float) -> Result[None, StoreError]:
        """Watches objects under `config/` and handles changes."""
        result = self.store.watch(CONFIG_PREFIX, since=self._revision, wait_s=wait_s)
        match result:
            case Success(batch):
                self._revision = batch.revision
                for found in batch.objects:
                    self._handle(found)
                if PROPOSAL_NAME in batch.deleted:
                    self._forget_proposal()
                return Success(None)
            case Failure(StoreRejected()):
                # The store no longer has the deletions since that revision.
                self._revision = 0
        return result

    def poll_store(self) -> None:
        """Reads the mark, and both objects if it changed or a full poll is due.

        Polling is the fallback for a watch that delivers no events.
        """
        match self.store.get(CONFIG_MARK_NAME):
            case Success(mark):
                version = mark.version if mark else 0
            case _:
                return
        fresh = self.clock() - self._full_poll_at < self._full_poll_interval_s()
        if version == self._mark_version and fresh:
            return
        committed = self.store.get(COMMITTED_NAME)
        proposal = self.store.get(PROPOSAL_NAME)
        for result in (committed, proposal):
            match result:
                case Success(found) if found is not None:
                    self._handle(found)
        if proposal == Success(None):
            self._forget_proposal()
        if isinstance(committed, Success) and isinstance(proposal, Success):
            self._mark_version = version
            self._full_poll_at = self.clock()
            self._full_poll_bytes = sum(
                len(found.value)
                for found in (committed.unwrap(), proposal.unwrap())
                if found is not None
            )

    def _full_poll_interval_s(self) -> float:
        return max(FULL_POLL_INTERVAL_S, self._full_poll_bytes / FULL_POLL_BYTES_PER_S)

    def _handle(self, found: VersionedObject) -> None:
        if found.name == COMMITTED_NAME:
            self._offer_committed(found)
        elif found.name == PROPOSAL_NAME:
            self._stage(found)

    def _offer_committed(self, found: VersionedObject) -> bool:
        """Activates the committed manifest; returns False if it cannot be decoded."""
        try:
            record = from_json(found.value, ConfigRecord)
        except msgspec.DecodeError as error:
            reason = f"{COMMITTED_NAME} cannot be read by this version: {error}"
            with self._lock:
                known = self._unreadable_reason == reason
                self._unreadable_reason = reason
            if not known:
                logger.error("{}", reason)
            return False
        with self._lock:
            self._unreadable_reason = ""
        self._offer(record, "the Object API")
        return True

    def _offer(self, record: ConfigRecord, source: str) -> None:
        if self.generations.offer(record):
            logger.info("generation {} active, from {}", record.generation, source)
            with self._lock:
                if self._staged_proposal == record.proposal_id:
                    self._staged_proposal = ""

    def _stage(self, found: VersionedObject) -> None:
        """Validates a proposal; the status reports the result."""
        try:
            head = from_json(found.value, ProposalHeader)
        except msgspec.DecodeError as error:
            logger.error("{} cannot be decoded: {}", PROPOSAL_NAME, error)
            return
        with self._lock:
            known = head.proposal_id in (self._staged_proposal, self._refused_proposal)
        if known or head.generation <= self.generations.generation():
            return
        reason = self._validate_proposal(found)
        with self._lock:
            self._staged_proposal = "" if reason else head.proposal_id
            self._refused_proposal = head.proposal_id if reason else ""
            self._refused_reason = reason
        if reason:
            logger.warning("proposal {} refused: {}", head.proposal_id, reason)
        else:
            logger.info("proposal {} staged", head.proposal_id)
        self._status_requested.set()

    def _validate_proposal(self, found: VersionedObject) -> str:
        try:
            record = from_json(found.value, ConfigRecord)
            for check in self.stage_checks:
                check(record.manifest)
        except (msgspec.DecodeError, ConfigError) as error:
            return str(error)
        return ""

    def _forget_proposal(self) -> None:
        with self._lock:
            self._staged_proposal = ""
            self._refused_proposal = ""
            self._refused_reason = ""
        self._status_requested.set()

    # Status

    def _status(self) -> InstanceStatus:
        applied = self.generations.applied()
        apply_error = self.generations.apply_error()
        record = self.generations.current()
        with self._lock:
            status = InstanceStatus(
                instance=self.instance,
                zone=self.zone,
                staged_proposal=self._staged_proposal,
                refused_proposal=self._refused_proposal,
                refused_reason=self._refused_reason,
                in_force=applied.generation if applied else 0,
                digest=applied.digest if applied else "",
            )
            unreadable = self._unreadable_reason
        if apply_error and record:
            status.refused_proposal = record.proposal_id
            status.refused_reason = f"could not be applied: {apply_error}"
        elif unreadable and not status.refused_reason:
            status.refused_reason = unreadable
        return status

    def status_is_due(self) -> bool:
        """Returns whether the status has changed or its refresh interval is over."""
        if self.clock() - self._reported_at >= STATUS_REFRESH_S:
            return True
        return self._status() != self._reported

    def write_status(self) -> bool:
        """Writes `status/<zone>/<instance>`; returns False if unconfirmed.

        The version is read before the status is built, so a concurrent slower write of
        an older status fails with a conflict.
        """
        for _ in range(2):
            result = self._write_status_once()
            match result:
                case Success(_):
                    return True
                case Failure(error):
                    self._status_version = None
                    self._status_error = error.message
                    if not isinstance(error, StoreConflict):
                        return False
        return False

    def _write_status_once(self) -> Result[int, StoreError]:
        name = status_name(self.zone, self.instance)
        version = self._status_version
        if version is None:
            match self.store.get(name):
                case Success(found):
                    version = found.version if found else 0
                case failure:
                    return failure
        reported = self._status()
        written_at = self.wall_clock()
        value = to_json(msgspec.structs.replace(reported, written_at=written_at))
        started_at = self.clock()
        if version == 0:
            result = self.store.create(name, value)
        else:
            result = self.store.update(name, value, version=version)
        match result:
            case Success(new_version):
                self._status_version = new_version
                self._reported = reported
                self._reported_at = started_at
                self._status_error = ""
        return result

    def _remove_status(self) -> None:
        name = status_name(self.zone, self.instance)
        version = self._status_version
        if version is None:
            match self.store.get(name):
                case Success(found) if found is not None:
                    version = found.version
        if version:
            # If the deletion fails, the status counts until it has been stale for long.
            self.store.delete(name, version=version)

    def dump(self) -> RolloutDump:
        """Returns the state for the state dump."""
        readiness = self.ready()
        with self._lock:
            return RolloutDump(
                readiness=readiness,
                started_from=self._started_from,
                staged_proposal=self._staged_proposal,
                refused_proposal=self._refused_proposal,
                refused_reason=self._refused_reason,
                status_version=self._status_version or 0,
                status_error=self._status_error,
                generation=self.generations.dump(),
                pause=self.pauses.dump(),
            )


def _jittered(interval_s: float) -> float:
    """Returns the interval with jitter, to spread calls of many instances."""
    return interval_s * random.uniform(0.75, 1.25)
