"""Types that the dispatcher and the scheduler exchange."""

import threading

import msgspec

from ..protocol.errors import RequestError, request_error
from ..protocol.manifest import Endpoint, RequestClass


@request_error("cancelled", http_status=499)
class Cancelled(RequestError):
    """The caller disconnected while its request was waiting."""

    default_remedy = "Send the request again if it is still wanted"


class Ticket(msgspec.Struct, kw_only=True, eq=False):
    """A request for a slot; times are `time.monotonic()` seconds.

    `deadline` is the latest time at which starting the request is useful. `excluded`
    contains the ids of endpoints that already failed for this request.

    The scheduler sets the remaining fields. `paused_at` is the time at which a stream
    lost its slot, by preemption or by a failure after its first token. It was already
    accepted and keeps its tokens, so its deadline and queue limits do not apply while
    it waits to resume. `generated_tokens` counts the tokens of all grants so far.
    """

    request_id: str
    team: str
    request_class: RequestClass
    target: str
    arrived_at: float
    deadline: float
    prompt_tokens: int = 0
    prompt_blocks: tuple[int, ...] = ()
    excluded: set[str] = msgspec.field(default_factory=set)
    paused_at: float | None = None
    generated_tokens: int = 0

    @property
    def resumes(self) -> bool:
        return self.paused_at is not None


class SlotGrant(msgspec.Struct, kw_only=True, eq=False):
    """Permission to use one slot of an endpoint until `Scheduler.release`.

    `preempted` is set when the stream should pause, release the slot and acquire again.
    `by_floor` marks a grant paid for by its class's floor, which is never preempted.
    """

    ticket: Ticket
    endpoint: Endpoint
    granted_at: float
    preempted: threading.Event = msgspec.field(default_factory=threading.Event)
    by_floor: bool = False
    trial: bool = False
    preempted_at: float | None = None
    estimated_cost: float = 0.0
    released: bool = False


class Usage(msgspec.Struct, kw_only=True):
    """Result of one use of a slot; `tokens` counts generated tokens."""

    tokens: int = 0
    wasted_tokens: int = 0
    first_token_s: float | None = None
    token_gap_s: float | None = None
    failed: bool = False
