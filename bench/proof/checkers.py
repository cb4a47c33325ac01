"""Checkers that read a history and list what breaks a promise.

Each checker is an entry of `CHECKERS`, filled by the `checker` decorator.
"""

from collections import Counter, defaultdict
from collections.abc import Callable

import msgspec

from . import history as events

LEAVING_LIMIT_S = 3.0
CHECKERS: dict[str, Callable[[events.History], list["Violation"]]] = {}


class Violation(msgspec.Struct, kw_only=True):
    """One broken promise: the checker's name and what was seen."""

    checker: str
    detail: str


def checker(name: str):
    """Registers a function that yields a text for each violation."""

    def register(function):
        def check(history: events.History) -> list[Violation]:
            return [Violation(checker=name, detail=text) for text in function(history)]

        CHECKERS[name] = check
        return check

    return register


def check_all(history: events.History) -> list[Violation]:
    """Runs every checker."""
    return [violation for check in CHECKERS.values() for violation in check(history)]


@checker("at most once")
def check_at_most_once(history):
    counts = Counter(event.call for event in history.of(events.Executed))
    for call, count in counts.items():
        if count > 1:
            yield f"{call} was executed {count} times"


@checker("not run")
def check_not_run(history):
    """A call whose last answer was `not_run` has no execution, before or after."""
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
            yield f"{call} was told not_run and was executed"


@checker("ran")
def check_ran(history):
    """A call answered `ran` with success was executed."""
    executed = {event.call for event in history.of(events.Executed)}
    for answer in history.of(events.Answered):
        counted = answer.expected_text is None
        succeeded = answer.run == "ran" and answer.status == 200
        if counted and succeeded and answer.call not in executed:
            yield f"{answer.call} was answered with success and never executed"


@checker("same outcome")
def check_same_outcome(history):
    """All successful answers of one call are the same."""
    texts = defaultdict(set)
    for answer in history.of(events.Answered):
        if answer.run == "ran" and answer.status == 200:
            texts[answer.call].add(answer.text)
    for call, found in texts.items():
        if len(found) > 1:
            yield f"{call} received {len(found)} different outcomes"


@checker("whole answer")
def check_whole_answer(history):
    """A whole answer is the expected text; any other one is a prefix and marked."""
    for answer in history.of(events.Answered):
        if answer.expected_text is None:
            continue
        if answer.whole and answer.text != answer.expected_text:
            yield f"{answer.call} was ended as whole with another text"
        if not answer.expected_text.startswith(answer.text):
            yield f"{answer.call} received text that is not its own"


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
    """No ready instance serves a generation below one that was reported accepted."""
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
    """Each generation was accepted with one digest only."""
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
