"""Request cells of the fault matrix: a fault at a step of an order or a stream."""

import threading
import time
from collections.abc import Callable

import msgspec
import urllib3

from bench.fleet import MODEL, SERVICE, TEAM_KEYS

from .caller import RETRY_PAUSE_S, Attempt, Caller
from .fault_context import FaultContext, wait_until
from .faults import ORDER, STREAM, Fault
from .history import Answered, Executed

STREAM_TOKENS = 60
MAX_ATTEMPTS = 14
RETRY_TIMEOUT_S = 25.0
# The simulated engine prefills a token in 0.1 ms, so this prompt takes about 0.4 s.
LONG_PROMPT = "cedar " * 4_000


class Step(msgspec.Struct, kw_only=True):
    """A column of the fault matrix.

    `widen` slows the simulated services down, so that the step lasts long enough to be
    observed. `reached` detects steps that are not visible to the caller.
    """

    name: str
    kinds: tuple[str, ...]
    widen: Callable[[FaultContext], None] = lambda context: None
    reached: Callable[[FaultContext, str, int], bool] | None = None
    prompt: str = ""


def count_writes(context: FaultContext) -> int:
    """Returns the number of writes that the store has received."""
    port = context.fleet.store.ports[-1]
    answer = context.fleet.http.request("GET", f"http://127.0.0.1:{port}/stats")
    return msgspec.json.decode(answer.data)["writes"]


def slow_claims(context: FaultContext) -> None:
    context.set_faults(context.fleet.store, {"slow_ms": 0.0}, slow_ms=300.0)


def slow_answers(context: FaultContext) -> None:
    for worker in context.fleet.workers.values():
        context.set_faults(worker, {"answer_delay_s": 0.0}, answer_delay_s=0.8)


def slow_answers_and_claims(context: FaultContext) -> None:
    for worker in context.fleet.workers.values():
        context.set_faults(worker, {"answer_delay_s": 0.0}, answer_delay_s=0.2)
    slow_claims(context)


def fill_slots(context: FaultContext) -> None:
    """Occupies all slots of the workers and engines for more than a second."""
    for worker in context.fleet.workers.values():
        context.set_faults(worker, {"delay_s": 0.0}, delay_s=1.2)
    targets = [("GET", f"/services/{SERVICE}/stock", b"", "lookup")] * 16
    plan = {"model": MODEL, "max_tokens": 120, "stream": False}
    for number in range(16):
        messages = [{"role": "user", "content": f"fill {number} {time.monotonic()}"}]
        body = msgspec.json.encode(plan | {"messages": messages})
        targets.append(("POST", "/v1/chat/completions", body, "plan"))
    url = context.fleet.daemons[context.target_instance].callers_url
    for target in targets:
        threading.Thread(target=send_filler, args=(url, *target), daemon=True).start()
    time.sleep(0.4)


def send_filler(url: str, method: str, path: str, body: bytes, name: str) -> None:
    """Sends a request that occupies a slot; its response is ignored."""
    headers = {
        "Authorization": f"Bearer {TEAM_KEYS['sales']}",
        "X-Request-Class": name,
    }
    try:
        urllib3.PoolManager(retries=False, timeout=20).request(
            method, url + path, body=body, headers=headers
        )
    except urllib3.exceptions.HTTPError:
        return


def is_queued(context: FaultContext, call: str, writes: int) -> bool:
    queues = context.fleet.dump(context.target_instance)["scheduler"]["queues"]
    classes = ("order", "plan")
    return any(q["waiting"] > 0 for q in queues if q["request_class"] in classes)


def is_executed(context: FaultContext, call: str, writes: int) -> bool:
    return context.fleet.executions().get(call, 0) > 0


def is_on_engine(context: FaultContext, call: str, writes: int) -> bool:
    in_use = context.fleet.dump(context.target_instance)["scheduler"]["in_use"]
    return any(in_use.get(name, 0) for name in context.fleet.engines)


STEPS = [
    Step(name="accepted", kinds=(ORDER, STREAM)),
    Step(name="queued", kinds=(ORDER, STREAM), widen=fill_slots, reached=is_queued),
    Step(
        name="claimed",
        kinds=(ORDER,),
        widen=slow_claims,
        reached=lambda context, call, writes: count_writes(context) > writes,
    ),
    Step(
        name="dispatched",
        kinds=(ORDER,),
        widen=slow_answers,
        reached=is_executed,
    ),
    Step(
        name="dispatched",
        kinds=(STREAM,),
        reached=is_on_engine,
        prompt=LONG_PROMPT,
    ),
    Step(name="first token", kinds=(STREAM,)),
    Step(name="mid-answer", kinds=(STREAM,)),
    Step(name="last token", kinds=(STREAM,)),
    Step(
        name="outcome recorded",
        kinds=(ORDER,),
        widen=slow_answers_and_claims,
        reached=lambda context, call, writes: (
            is_executed(context, call, writes) and count_writes(context) > writes + 1
        ),
    ),
    Step(name="answered", kinds=(ORDER, STREAM)),
]
TOKEN_STEPS = {
    "first token": 1,
    "mid-answer": STREAM_TOKENS // 2,
    "last token": STREAM_TOKENS - 1,
}


class RequestCell:
    """Runs one request, injects faults at a step and checks the response."""

    def __init__(
        self, *, context: FaultContext, faults: list[Fault], step: Step, kind: str
    ):
        self.context = context
        self.faults = faults
        self.step = step
        self.kind = kind
        self.call = f"{kind}-{step.name}-{time.monotonic_ns()}".replace(" ", "-")
        self.caller = Caller(fleet=context.fleet, history=context.history)
        self.injected = threading.Event()
        self.healed_at = float("inf")

    def run(self) -> list[str]:
        """Returns the problems that the history checkers don't cover."""
        self.step.widen(self.context)
        writes = count_writes(self.context)
        watcher = threading.Thread(target=self._watch, args=(writes,), daemon=True)
        watcher.start()
        answer = self._attempt(1, self.context.target_instance)
        if self.step.name == "answered":
            self._inject()
        if not self.injected.wait(5):
            reason = f"{answer.run} {answer.kind} {answer.text[:200]}"
            return [f"step {self.step.name} was not reached; answer {reason}"]
        answer = self._retry(answer)
        for _ in range(self.context.fleet.executions().get(self.call, 0)):
            self.context.history.record(Executed(call=self.call, endpoint=""))
        return self._find_problems(answer)

    def _watch(self, writes: int) -> None:
        if self.step.reached is None:
            return
        reached = self.step.reached
        if wait_until(lambda: reached(self.context, self.call, writes), timeout_s=6):
            self._inject()

    def _inject(self) -> None:
        if self.injected.is_set():
            return
        for fault in self.faults:
            fault.inject(self.context)
        self.injected.set()
        hold_s = max(fault.hold_s for fault in self.faults)
        self.context.heal_after(hold_s, self._heal)

    def _heal(self) -> None:
        self.context.heal()
        self.healed_at = time.monotonic()

    def _attempt(self, number: int, instance: str) -> Answered:
        attempt = Attempt(call=self.call, number=number, instance=instance)
        if number == 1:
            attempt.on_sending = self._on_sending
            attempt.on_token = self._on_token
        if self.kind == ORDER:
            return self.caller.order(attempt)
        return self.caller.stream(
            attempt, tokens=STREAM_TOKENS, prompt=self.step.prompt
        )

    def _on_sending(self) -> None:
        if self.step.name == "accepted":
            self._inject()

    def _on_token(self, count: int) -> None:
        if count == TOKEN_STEPS.get(self.step.name):
            self._inject()

    def _retry(self, answer: Answered) -> Answered:
        """Retries through other instances until the response is final or on timeout."""
        began = time.monotonic()
        repeat_answered = self.step.name == "answered"
        for number in range(2, MAX_ATTEMPTS):
            if self._is_final(answer) and not repeat_answered:
                return answer
            repeat_answered = False
            if time.monotonic() > began + RETRY_TIMEOUT_S:
                break
            time.sleep(RETRY_PAUSE_S)
            answer = self._attempt(number, self.context.next_instance())
        return answer

    def _is_final(self, answer: Answered) -> bool:
        if answer.run == "ran" and answer.status == 200:
            return True
        settled = time.monotonic() > self.healed_at + 2.0
        return answer.kind == "outcome_unknown" and settled

    def _find_problems(self, answer: Answered) -> list[str]:
        if answer.run == "ran":
            return []
        holder_lost = any(fault.loses_holder for fault in self.faults)
        if self.kind == ORDER and answer.run == "unknown" and holder_lost:
            return []
        return [f"last answer was {answer.run} ({answer.status} {answer.kind})"]
