"""Checkers that find violated guarantees in a history.

The `checker` decorator adds each checker to `CHECKERS`.
"""

from collections import Counter, defaultdict
from collections.abc import Callable

import msgspec

from . import history as events

LEAVING_LIMIT_S = 3.0
CHECKERS: dict[str, Callable[[events.History], list["Violation"]]] = {}


class Violation(msgspec.Struct, kw_only=True):
    """A violated guarantee: the name of the checker and what it found."""

    checker: str
    detail: str


def checker(name: str):
    """Registers a function that yields a description of each violation."""

    def register(function):
        def check(history: events.History) -> list[Violation]:
            return [Violation(checker=name, detail=text) for text in function(history)]

        CHECKERS[name] = check
        return check

    return register


def check_all(history: events.History) -> list[Violation]:
    """Runs all checkers and returns the violations."""
    return [violation for check in CHECKERS.values() for violation in check(history)]


@checker("at most once")
def check_at_most_once(history):
    counts = Counter(event.call for event in history.of(events.Executed))
    for call, count in counts.items():
        if count > 1:
            yield f"{call} was executed {count} times"


@checker("not run")
def check_not_run(history):
    """Checks that a call whose last response was `not_run` was never executed."""
    last_answers = {}
    for answer in history.of(events.Answered):
        last_answers[answer.call] = answer
    last_invocations = {}
    for invocation in history.of(events.Invoked):
        last_invocations[invocation.call] = invocation.attempt
    executed = {event.call for event in history.of(events.Executed)}
    for call, answer in last_answers.items():
        retried = last_invocations.get(call, answer.attempt) > answer.attempt
        if answer.run == "not_run" and call in executed and not retried:
            yield f"{call} was answered not_run but was executed"


@checker("ran")
def check_ran(history):
    """Checks that a call with a successful `ran` response was executed."""
    executed = {event.call for event in history.of(events.Executed)}
    for answer in history.of(events.Answered):
        counted = answer.expected_text is None
        succeeded = answer.run == "ran" and answer.status == 200
        if counted and succeeded and answer.call not in executed:
            yield f"{answer.call} was answered with success but never executed"


@checker("same outcome")
def check_same_outcome(history):
    """Checks that all successful responses of a call are equal."""
    texts = defaultdict(set)
    for answer in history.of(events.Answered):
        if answer.run == "ran" and answer.status == 200:
            texts[answer.call].add(answer.text)
    for call, found in texts.items():
        if len(found) > 1:
            yield f"{call} received {len(found)} different outcomes"


@checker("whole answer")
def check_whole_answer(history):
    """Checks that a complete response equals the expected text.

    An incomplete one must be a prefix of it and must not be ended as complete.
    """
    for answer in history.of(events.Answered):
        if answer.expected_text is None:
            continue
        if answer.whole and answer.text != answer.expected_text:
            yield f"{answer.call} was ended as complete with a wrong text"
        if not answer.expected_text.startswith(answer.text):
            yield f"{answer.call} received text that is no prefix of its answer"


@checker("generation never decreases")
def check_generation_order(history):
    highest: dict[str, int] = {}
    for seen in history.of(events.GenerationSeen):
        if not seen.ready:
            continue
        before = highest.get(seen.instance, 0)
        if seen.generation < before:
            yield f"{seen.instance} went from generation {before} to {seen.generation}"
        highest[seen.instance] = max(before, seen.generation)


@checker("accepted is in force")
def check_accepted(history):
    """Checks that no ready instance serves a generation below an accepted one."""
    accepted = [
        result
        for result in history.of(events.ManifestResult)
        if result.result == "accepted"
    ]
    for seen in history.of(events.GenerationSeen):
        floor = max((r.generation for r in accepted if r.at < seen.at), default=0)
        if seen.ready and seen.generation < floor:
            yield (
                f"{seen.instance} served generation {seen.generation} after "
                f"{floor} was accepted"
            )


@checker("one winner")
def check_one_winner(history):
    """Checks that each generation was accepted with a single digest."""
    digests = defaultdict(set)
    for result in history.of(events.ManifestResult):
        if result.result == "accepted":
            digests[result.generation].add(result.digest)
    for generation, found in digests.items():
        if len(found) > 1:
            yield f"generation {generation} was accepted with {len(found)} manifests"


@checker("leaving endpoint")
def check_leaving(history):
    leaving = {event.endpoint: event.at for event in history.of(events.EndpointLeaving)}
    for dispatch in history.of(events.Dispatched):
        since = leaving.get(dispatch.endpoint)
        if since is not None and dispatch.at > since + LEAVING_LIMIT_S:
            late = dispatch.at - since
            yield f"{dispatch.endpoint} got new work {late:.1f} s after it was leaving"


@checker("planned stop")
def check_planned_stop(history):
    for stop in history.of(events.PlannedStop):
        if stop.exit_status not in (None, 0):
            yield f"{stop.instance} ended with status {stop.exit_status}"


@checker("protected classes")
def check_protected(history):
    for shed in history.of(events.Shed):
        if shed.protected and shed.lower_tier_slots > 0:
            yield (
                f"class {shed.request_class} was shed while lower tiers held "
                f"{shed.lower_tier_slots} slots beyond their floor"
            )
