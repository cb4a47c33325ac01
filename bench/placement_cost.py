"""Measures the cost of placing a generation: `python -m bench.placement_cost`.

Prints one row for each number of engines and each queue length: microseconds for a
short and for a long prompt that are placed immediately, for a long prompt that is
queued, and for one scan of the queue. For the last two, every engine has a backlog of
prompt tokens, so that the scan places nothing.
"""

import statistics
import time

import typer

from lagoonrill._internal.coordination.engine_admission import EngineAdmission
from lagoonrill._internal.coordination.engine_requests import Generation, Waiter
from lagoonrill._internal.coordination.send_permits import SendPermits
from lagoonrill._internal.event_log import EventLog
from lagoonrill._internal.protocol.routing import (
    EndpointRecord,
    EngineProfile,
    PromptPart,
    Route,
    RouteKind,
    RoutingConfig,
    Service,
    WeightedService,
)
from lagoonrill._internal.state.endpoint_registry import EndpointRegistry
from lagoonrill._internal.state.engine_load_table import EngineLoadTable

ENGINE_COUNTS = (10, 60, 200, 600)
QUEUE_LENGTHS = (0, 10, 100, 1_000, 4_000)
SERVICE = "models"
BUSY_TOKENS = 60_000
LONG_TOKENS = 9_000
SHORT_TOKENS = 800
TIME_LIMIT_S = 600.0


def build_route(name: str, goal_s: float) -> Route:
    return Route(
        name=name,
        host="h",
        path_prefix=f"/{name}/",
        kind=RouteKind.STREAM,
        services=(WeightedService(service=SERVICE),),
        uses_engine=True,
        timeout_s=TIME_LIMIT_S,
        goal_s=goal_s,
        pause_goal_s=0.3,
        priority=1,
    )


QUESTION = build_route("question", 0.4)
PLAN = build_route("plan", TIME_LIMIT_S / 2)


def build_admission(engines: int) -> EngineAdmission:
    registry = EndpointRegistry()
    records = [
        EndpointRecord(
            id=f"e{number}",
            service=SERVICE,
            address="127.0.0.1:1",
            zone=f"z{number % 3}",
            slots=64,
        )
        for number in range(engines)
    ]
    registry.replace({record.id: record for record in records})
    load_table = EngineLoadTable()
    admission = EngineAdmission(
        instance="i",
        zone="z0",
        registry=registry,
        load_table=load_table,
        permits=SendPermits(instance="i", event_log=EventLog()),
        event_log=EventLog(),
    )
    profile = EngineProfile(slots=64, cache_tokens=300_000)
    service = Service(name=SERVICE, engine=profile)
    admission.install(
        RoutingConfig(version=1, routes=(QUESTION, PLAN), services={SERVICE: service})
    )
    return admission


def generation(number: int, route: Route, tokens: int) -> Generation:
    now = time.monotonic()
    shared = PromptPart(id=f"shared-{number % 50}", tokens=tokens * 2 // 3)
    own = PromptPart(id=f"own-{number}", tokens=tokens - shared.tokens)
    return Generation(
        id=f"r{number}",
        route=route,
        service=SERVICE,
        priority=1,
        parts=(shared, own),
        prompt_tokens=tokens,
        arrived_at=now,
        deadline=now + TIME_LIMIT_S,
    )


def submit(admission: EngineAdmission, item: Generation) -> Waiter:
    admission._note_prompt(item)
    waiter = Waiter(generation=item, view=admission._view(item))
    admission.submit(waiter)
    return waiter


def median_us(action, rounds: int) -> float:
    """Returns the median duration of an action in microseconds."""
    times = []
    for number in range(rounds):
        began = time.perf_counter()
        action(number)
        times.append(time.perf_counter() - began)
    return statistics.median(times) * 1e6


def place(admission: EngineAdmission, route: Route, tokens: int, number: int) -> None:
    waiter = submit(admission, generation(number, route, tokens))
    if waiter.admission is not None:
        admission.load_table.end(waiter.admission.job)


def main(rounds: int = 200) -> None:
    """Prints the table of placement costs."""
    print("engines waiting  question us  plan at once us  plan waits us  line us")
    for engines in ENGINE_COUNTS:
        for waiting in QUEUE_LENGTHS:
            admission = build_admission(engines)
            question = median_us(
                lambda n, a=admission: place(a, QUESTION, SHORT_TOKENS, n), rounds
            )
            plan = median_us(
                lambda n, a=admission: place(a, PLAN, LONG_TOKENS, n), rounds
            )
            for number in range(engines):
                admission.load_table.begin(
                    engine=f"e{number}", tokens=BUSY_TOKENS * 1_000, heavy=True
                )
            for number in range(waiting):
                submit(admission, generation(number, PLAN, LONG_TOKENS))
            review = median_us(lambda n, a=admission: a.review(SERVICE), rounds // 10)
            waits = median_us(
                lambda n, a=admission: submit(a, generation(n, PLAN, LONG_TOKENS)),
                rounds // 10,
            )
            print(
                f"{engines:7} {waiting:7} {question:12.0f} {plan:16.0f} "
                f"{waits:14.0f} {review:8.0f}"
            )


if __name__ == "__main__":
    typer.run(main)
