"""Simulates a model engine with continuous batching.

Each answer is a deterministic function of its request, so a checker can compute the
complete expected text:

>>> messages = [{"role": "user", "content": "hello"}]
>>> len(expected_tokens(messages, max_tokens=5))
5
"""

import collections
import hashlib
import heapq
import random
import threading
import time

import msgspec

from lagoonrill._internal.protocol.chat import prompt_blocks

from .server import (
    DropConnection,
    Request,
    Response,
    StandIn,
    ZoneLatency,
    argument_parser,
    json_response,
    run,
)

LOAD_SAMPLE_INTERVAL_S = 0.05
MAX_KEPT_STREAMS = 2_000
MAX_CACHE_EVENTS = 10_000


class EngineFaults(msgspec.Struct, kw_only=True):
    """Faults of an engine; probabilities apply to each content event."""

    straggler: float = 1.0  # multiplies the duration of each step
    crash_after_tokens: int = 0  # crash when a stream reaches this many tokens
    down_s: float = 0.0  # drop all connections for this time after a crash
    freeze: bool = False
    leaving: bool = False
    duplicate: float = 0.0
    late: float = 0.0  # an event is sent after `late_events` later ones
    late_events: int = 3
    reorder: float = 0.0  # an event is sent after the next one
    truncate_at: int = 0  # drop one response after this many tokens
    refuse_instances: list[str] = []
    load_lag_s: float = 0.0
    cache_lag_s: float = 0.0
    cache_gap: float = 0.0  # probability that a cache event is lost


class Execution(msgspec.Struct, kw_only=True):
    """Tokens `first` to `end` generated for a stream, of which `delivered` were sent.

    Times are `time.monotonic()` seconds, which all processes on a machine share.
    """

    stream: str
    first: int
    end: int = 0
    delivered: int = 0
    received_at: float = 0.0
    first_token_at: float | None = None


class Stats(msgspec.Struct, kw_only=True):
    """Totals since the process started; a simulated crash does not reset them."""

    generated: int
    undelivered: int
    generated_twice: int
    continuation_mismatches: int
    executions: int


class CacheEvent(msgspec.Struct, kw_only=True):
    """Reports that a prefix block was stored or removed."""

    number: int
    kind: str
    block: int


class Load(msgspec.Struct, kw_only=True):
    """Load report of the engine; `age_s` is the age of the sample."""

    running: int
    waiting: int
    slots: int
    models: list[str]
    state: str
    age_s: float = 0.0


def request_seed(messages: list[dict]) -> bytes:
    """Returns a digest of the messages, from which the answer is derived."""
    return hashlib.sha256(msgspec.json.encode(messages)).digest()


def token(seed: bytes, index: int) -> str:
    """Returns the token of an answer at an index."""
    digest = hashlib.blake2b(seed + index.to_bytes(4, "big"), digest_size=3)
    return digest.hexdigest() + " "


def answer_length(seed: bytes, max_tokens: int | None) -> int:
    """Returns `max_tokens`, or a length derived from the seed."""
    return max_tokens or 16 + seed[0] % 112


def expected_tokens(
    messages: list[dict], *, max_tokens: int | None = None
) -> list[str]:
    """Returns the tokens of the complete answer to a request."""
    seed = request_seed(messages)
    return [token(seed, i) for i in range(answer_length(seed, max_tokens))]


def expected_text(messages: list[dict], *, max_tokens: int | None = None) -> str:
    """Returns the text of the complete answer to a request."""
    return "".join(expected_tokens(messages, max_tokens=max_tokens))


class Stream:
    """An answer of which `count` of `total` tokens have been generated."""

    def __init__(self, *, stream_id: str, priority: int, fields: dict):
        messages = fields["messages"]
        self.first = fields.get("continue_from", 0)
        self.prefix = messages[-1]["content"] if self.first else ""
        self.messages = messages[:-1] if self.first else messages
        self.id = stream_id
        self.priority = priority
        self.model = fields["model"]
        self.seed = request_seed(self.messages)
        self.total = answer_length(self.seed, fields.get("max_tokens"))
        self.count = self.first
        self.ready_at = 0.0
        self.readers = 0
        self.unread_since = time.monotonic()
        self.cancelled = False
        self.changed = threading.Condition()
        self.execution = Execution(
            stream=stream_id,
            first=self.first,
            end=self.first,
            received_at=time.monotonic(),
        )

    @property
    def ended(self) -> bool:
        return self.cancelled or self.count >= self.total

    def advance(self) -> None:
        """Generates one token and notifies the readers."""
        with self.changed:
            if self.execution.first_token_at is None:
                self.execution.first_token_at = time.monotonic()
            self.count += 1
            self.execution.end = self.count
            self.changed.notify_all()

    def cancel(self) -> None:
        """Cancels the stream; the connections of its readers are dropped."""
        with self.changed:
            self.cancelled = True
            self.changed.notify_all()

    def wait_for_token(self, count: int) -> int:
        """Waits for tokens beyond the first `count`; returns how many exist."""
        with self.changed:
            while self.count <= count and not self.ended:
                self.changed.wait(1.0)
            if self.cancelled:
                raise DropConnection
            return self.count

    def event(self, index: int) -> bytes:
        """Returns the event that carries token `index`."""
        text = token(self.seed, index)
        return (
            f'id: {index}\ndata: {{"id":"{self.id}","object":"chat.completion.chunk",'
            f'"model":"{self.model}","choices":[{{"index":0,"delta":{{"content":'
            f'"{text}"}},"finish_reason":null}}]}}\n\n'
        ).encode()

    def final_events(self) -> bytes:
        """Returns the event with `finish_reason`, followed by `[DONE]`."""
        return (
            f'id: {self.total}\ndata: {{"id":"{self.id}","object":'
            f'"chat.completion.chunk","model":"{self.model}","choices":[{{"index":0,'
            '"delta":{},"finish_reason":"stop"}]}\n\ndata: [DONE]\n\n'
        ).encode()


class PrefixCache:
    """LRU cache of prefix blocks that publishes an event for each change."""

    def __init__(self, *, capacity: int):
        self.capacity = capacity
        self.blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.events: collections.deque[tuple[float, CacheEvent]] = collections.deque(
            maxlen=MAX_CACHE_EVENTS
        )
        self.next_number = 1

    def lookup_and_store(self, blocks: tuple[int, ...], *, gap: float) -> float:
        """Returns the share of the prompt that was cached and stores its blocks."""
        known = 0
        for block in blocks:
            if block not in self.blocks:
                break
            known += 1
        for block in blocks:
            if block not in self.blocks:
                self._publish("stored", block, gap)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            self._publish("removed", self.blocks.popitem(last=False)[0], gap)
        return known / len(blocks) if blocks else 0.0

    def _publish(self, kind: str, block: int, gap: float) -> None:
        event = CacheEvent(number=self.next_number, kind=kind, block=block)
        self.next_number += 1
        if random.random() >= gap:
            self.events.append((time.monotonic(), event))


class Engine(StandIn):
    """Runs up to `slots` streams at once and starts the most urgent ones first."""

    def __init__(self, *, arguments):
        super().__init__(faults=EngineFaults(), threads=arguments.threads)
        self.faults_changed = threading.Event()
        self.arguments = arguments
        self.latency = ZoneLatency(
            zone=arguments.zone, one_way_ms=arguments.zone_latency_ms
        )
        self.lock = threading.RLock()
        self.streams: collections.OrderedDict[str, Stream] = collections.OrderedDict()
        self.waiting: list[tuple[int, int, Stream]] = []
        self.running: list[Stream] = []
        self.models = list(arguments.model)
        self.role = ""
        self.fence = 0
        self.sequence = 0
        self.down_until = 0.0
        self.continuation_mismatches = 0
        self.executions: list[Execution] = []
        self.cache = PrefixCache(capacity=arguments.cache_blocks)
        self.load_samples: collections.deque[tuple[float, Load]] = collections.deque(
            maxlen=2_000
        )
        self.add_route("POST", "/v1/chat/completions", self.complete)
        self.add_route("GET", "/streams/([^/]+)", self.resume)
        self.add_route("DELETE", "/streams/([^/]+)", self.cancel)
        self.add_route("GET", "/load", self.report_load)
        self.add_route("GET", "/cache-events", self.list_cache_events)
        self.add_route("POST", "/orders", self.order)
        self.add_route("GET", "/stats", self.report_stats)
        self.add_route("GET", "/executions", self.list_executions)
        threading.Thread(target=self.generate, daemon=True).start()

    def set_faults(self, request: Request) -> Response:
        """Sets faults and ends the downtime after a crash."""
        self.down_until = 0.0
        response = super().set_faults(request)
        self.faults_changed.set()
        return response

    def handle(self, request: Request) -> Response:
        """Applies connection-level faults, then handles the request."""
        if request.path in ("/faults", "/stats", "/executions"):
            return super().handle(request)
        self.latency.wait(request)
        while self.faults.freeze:
            time.sleep(0.02)
        refused = request.header("X-Instance") in self.faults.refuse_instances
        if refused or time.monotonic() < self.down_until:
            raise DropConnection
        response = super().handle(request)
        state = "leaving" if self.faults.leaving else "live"
        response.headers["X-Endpoint-State"] = state
        return response

    def complete(self, request: Request) -> Response:
        """Starts a stream; a stream with the same id is cancelled first."""
        fields = msgspec.json.decode(request.body)
        if fields["model"] not in self.models:
            return json_response({"error": "model not loaded"}, status=404)
        self.sequence += 1
        stream_id = request.header("X-Stream-Id") or f"local-{self.sequence}"
        priority = int(request.header("X-Priority") or 9)
        stream = Stream(stream_id=stream_id, priority=priority, fields=fields)
        if stream.prefix != "".join(token(stream.seed, i) for i in range(stream.first)):
            self.continuation_mismatches += 1
        self.submit(stream)
        if fields.get("stream"):
            return self.stream_response(stream, stream.first)
        return self.complete_response(stream)

    def submit(self, stream: Stream) -> None:
        """Queues a stream and cancels an earlier one with the same id."""
        with self.lock:
            previous = self.streams.pop(stream.id, None)
            if previous:
                previous.cancel()
            self.streams[stream.id] = stream
            while len(self.streams) > MAX_KEPT_STREAMS:
                self.streams.popitem(last=False)
            self.executions.append(stream.execution)
            heapq.heappush(self.waiting, (stream.priority, self.sequence, stream))
            self.start_waiting()

    def start_waiting(self) -> None:
        """Starts queued streams in free slots; a cached prefix shortens the prefill."""
        while self.waiting and len(self.running) < self.arguments.slots:
            stream = heapq.heappop(self.waiting)[2]
            if stream.ended:
                continue
            text = "\n".join(f"{m['role']}: {m['content']}" for m in stream.messages)
            share = self.cache.lookup_and_store(
                prompt_blocks(text), gap=self.faults.cache_gap
            )
            prompt_tokens = len(text) / 4 + stream.first
            prefill_s = prompt_tokens * self.arguments.prefill_us / 1e6 * (1 - share)
            stream.ready_at = time.monotonic() + prefill_s * self.faults.straggler
            self.running.append(stream)

    def generate(self) -> None:
        """Runs the decode loop; a step adds a token to each prefilled stream.

        A step that is pending when the faults change is dropped: it would have the
        speed of the faults before.
        """
        next_step = time.monotonic()
        while True:
            began_at = next_step
            step_s = self.arguments.token_ms / 1e3 * self.faults.straggler
            next_step = max(next_step + step_s, time.monotonic())
            if self.faults_changed.wait(max(0.0, next_step - time.monotonic())):
                self.faults_changed.clear()
                next_step = time.monotonic()
                continue
            if self.faults.freeze:
                continue
            with self.lock:
                self.step(time.monotonic(), began_at=began_at)
                self.sample_load(time.monotonic())

    def step(self, now: float, *, began_at: float) -> None:
        """Runs one decode step and cancels streams without readers after `grace_s`.

        Streams that were prefilled during the step join the next one.
        """
        grace_s = self.arguments.grace_s
        for stream in self.running:
            if not stream.readers and now - stream.unread_since > grace_s:
                stream.cancel()
            elif stream.ready_at <= began_at and not stream.ended:
                stream.advance()
        crash_at = self.faults.crash_after_tokens
        if crash_at and any(s.count >= crash_at for s in self.running):
            self.crash(now)
        self.running = [stream for stream in self.running if not stream.ended]
        self.start_waiting()

    def crash(self, now: float) -> None:
        """Simulates one crash: drops all connections, streams and the cache."""
        self.faults.crash_after_tokens = 0
        self.down_until = now + self.faults.down_s
        for stream in self.streams.values():
            stream.cancel()
        self.streams.clear()
        self.waiting.clear()
        self.running.clear()
        self.cache = PrefixCache(capacity=self.arguments.cache_blocks)

    def stream_response(self, stream: Stream, first: int) -> Response:
        """Returns an event stream that starts at token `first`."""
        return Response(
            body=self.relay(stream, first),
            headers={"Content-Type": "text/event-stream"},
        )

    def relay(self, stream: Stream, first: int):
        """Yields events; tokens that are available together are sent together."""
        with stream.changed:
            stream.readers += 1
        sent = first
        disruptor = EventDisruptor(faults=self.faults)
        try:
            while sent < stream.total:
                available = stream.wait_for_token(sent)
                events = [stream.event(index) for index in range(sent, available)]
                yield b"".join(disruptor.apply(events))
                sent = available
                stream.execution.delivered = max(stream.execution.delivered, sent)
                if 0 < self.faults.truncate_at <= sent:
                    self.faults.truncate_at = 0
                    raise DropConnection
            yield b"".join(disruptor.held) + stream.final_events()
        finally:
            with stream.changed:
                stream.readers -= 1
                stream.unread_since = time.monotonic()

    def complete_response(self, stream: Stream) -> Response:
        """Waits for the complete stream and returns it as one response."""
        collections.deque(self.relay(stream, stream.first), maxlen=0)
        text = "".join(token(stream.seed, i) for i in range(stream.total))
        choice = {"message": {"role": "assistant", "content": text}}
        return json_response({"choices": [choice | {"finish_reason": "stop"}]})

    def resume(self, request: Request, stream_id: str) -> Response:
        """Attaches a reader to an existing stream, from token `from` on."""
        stream = self.streams.get(stream_id)
        if stream is None or stream.cancelled:
            return json_response({"error": "no such stream"}, status=404)
        return self.stream_response(stream, int(request.query.get("from", 0)))

    def cancel(self, request: Request, stream_id: str) -> Response:
        """Cancels a stream and frees its slot."""
        with self.lock:
            stream = self.streams.pop(stream_id, None)
            if stream:
                stream.cancel()
                self.running = [s for s in self.running if s is not stream]
                self.start_waiting()
        return json_response({"cancelled": stream is not None})

    def sample_load(self, now: float) -> None:
        """Stores a load sample, from which lagging reports are served."""
        if self.load_samples and (
            now - self.load_samples[-1][0] < LOAD_SAMPLE_INTERVAL_S
        ):
            return
        self.load_samples.append((now, self.current_load()))

    def current_load(self) -> Load:
        """Returns the current load."""
        return Load(
            running=len(self.running),
            waiting=len(self.waiting),
            slots=self.arguments.slots,
            models=self.models,
            state="leaving" if self.faults.leaving else "live",
        )

    def report_load(self, request: Request) -> Response:
        """Returns the newest load sample that is at least `load_lag_s` old."""
        now = time.monotonic()
        if not self.faults.load_lag_s:
            return json_response(self.current_load())
        with self.lock:
            samples = [
                s for s in self.load_samples if s[0] <= now - self.faults.load_lag_s
            ]
        taken_at, load = samples[-1] if samples else (now, self.current_load())
        return json_response(msgspec.structs.replace(load, age_s=now - taken_at))

    def list_cache_events(self, request: Request) -> Response:
        """Returns cache events after a number that are at least `cache_lag_s` old."""
        after = int(request.query.get("after", 0))
        limit = time.monotonic() - self.faults.cache_lag_s
        with self.lock:
            events = [e for at, e in self.cache.events if at <= limit]
        return json_response([event for event in events if event.number > after])

    def order(self, request: Request) -> Response:
        """Executes a control order; refuses a stale fence with `--check-fencing`."""
        order = msgspec.json.decode(request.body)
        with self.lock:
            if self.arguments.check_fencing and order["fence"] < self.fence:
                error = {"error": "old fence", "fence": self.fence}
                return json_response(error, status=409)
            self.fence = max(self.fence, order["fence"])
            if order["kind"] == "load_model" and order["model"] not in self.models:
                self.models.append(order["model"])
            if order["kind"] == "unload_model" and order["model"] in self.models:
                self.models.remove(order["model"])
            if order["kind"] == "set_role":
                self.role = order["role"]
        return json_response({"models": self.models, "role": self.role})

    def report_stats(self, request: Request) -> Response:
        """Returns totals over all executions."""
        with self.lock:
            ended: dict[str, int] = {}
            twice = 0
            for execution in self.executions:
                end = ended.get(execution.stream, execution.first)
                twice += max(0, min(end, execution.end) - execution.first)
                ended[execution.stream] = max(end, execution.end)
            return json_response(
                Stats(
                    generated=sum(e.end - e.first for e in self.executions),
                    undelivered=sum(
                        max(0, e.end - max(e.first, e.delivered))
                        for e in self.executions
                    ),
                    generated_twice=twice,
                    continuation_mismatches=self.continuation_mismatches,
                    executions=len(self.executions),
                )
            )

    def list_executions(self, request: Request) -> Response:
        """Returns all executions, so that a checker can merge those of all engines."""
        return json_response(self.executions)


class EventDisruptor:
    """Duplicates, delays and reorders events according to the faults."""

    def __init__(self, *, faults: EngineFaults):
        self.faults = faults
        self.held: list[bytes] = []
        self.held_for = 0

    def apply(self, events: list[bytes]) -> list[bytes]:
        """Returns the events to send now; held events follow in a later call."""
        faults = self.faults
        if not (faults.duplicate or faults.late or faults.reorder):
            return events
        result = []
        for event in events:
            if not self.held and random.random() < faults.late:
                self.held, self.held_for = [event], faults.late_events
                continue
            if not self.held and random.random() < faults.reorder:
                self.held, self.held_for = [event], 1
                continue
            result.append(event)
            if random.random() < faults.duplicate:
                result.append(event)
            self.held_for -= 1
            if self.held and self.held_for <= 0:
                result += self.held
                self.held = []
        return result


def main() -> None:
    parser = argument_parser("Simulated model engine")
    parser.add_argument("--model", action="append", required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--token-ms", type=float, default=10.0)
    parser.add_argument("--prefill-us", type=float, default=100.0)
    parser.add_argument("--cache-blocks", type=int, default=4096)
    parser.add_argument("--grace-s", type=float, default=5.0)
    parser.add_argument("--threads", type=int, default=320)
    parser.add_argument("--check-fencing", action="store_true")
    parser.add_argument("--id", default="engine")
    arguments = parser.parse_args()
    run(Engine(arguments=arguments), host=arguments.host, port=arguments.port)


if __name__ == "__main__":
    main()
