"""Tells long prompts from interactive ones, by route.

Load pattern: several kinds of requests share the engines of a service. While an engine
prefills a prompt, the streams on it pause, and how long depends on the prompt's length
and the engine's speed. The most urgent kind is interactive: its streams are kept apart
from prompts that would delay them. Any number of kinds may follow it.

The engine's speed is the rate observed without competing prompts. The rate under load
would fall in an overload and make interactive prompts count as long.
"""

import msgspec

# Fraction of the tightest pause goal of the interactive routes that prefilling one
# prompt may take. The rest is needed for decoding and for other prompts.
READ_SHARE_OF_PAUSE = 0.25
# A route changes back only below this fraction of the limit, so that a mean close to
# the limit does not move its prompts back and forth.
HYSTERESIS = 0.7


class PromptRoute(msgspec.Struct, kw_only=True):
    """What placement knows of a route's prompts."""

    name: str
    # Configured rank; 0 is the most urgent.
    priority: int
    pause_goal_s: float
    # Observed mean length.
    prompt_tokens: float


def long_prompt_routes(
    routes: list[PromptRoute], rate: float, before: frozenset[str]
) -> frozenset[str]:
    """Returns the routes whose prompts count as long.

    `rate` is in prompt tokens per second, `before` is the previous result. Routes are
    taken by urgency. The first one is interactive if any other one would delay it; each
    further one is long if it would delay an interactive one.

    >>> def kind(name, priority, pause_goal_s, prompt_tokens):
    ...     return PromptRoute(
    ...         name=name,
    ...         priority=priority,
    ...         pause_goal_s=pause_goal_s,
    ...         prompt_tokens=prompt_tokens,
    ...     )
    >>> ask, plan = kind("ask", 0, 0.2, 1_460), kind("plan", 1, 0.3, 9_190)
    >>> sorted(long_prompt_routes([ask, plan], 20_000.0, frozenset()))
    ['plan']
    >>> sorted(long_prompt_routes([plan], 20_000.0, frozenset()))
    ['plan']
    """
    ranked = sorted(
        (route for route in routes if route.pause_goal_s > 0),
        key=lambda route: (route.priority, route.pause_goal_s, route.prompt_tokens),
    )
    if not ranked:
        return frozenset()
    first = ranked[0]
    pause_s = first.pause_goal_s
    found = set()
    for route in ranked:
        limit = rate * pause_s * READ_SHARE_OF_PAUSE
        if route.name in before:
            limit *= HYSTERESIS
        if route.prompt_tokens > limit:
            found.add(route.name)
        else:
            pause_s = min(pause_s, route.pause_goal_s)
    longest = max(route.prompt_tokens for route in ranked)
    if longest > first.prompt_tokens and len(found) > 1:
        found.discard(first.name)
    return frozenset(found)
