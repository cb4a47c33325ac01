"""Routing policies: one module per decision, each with a registry of variants."""

import msgspec

from .admission import ADMISSION
from .endpoint_choice import ENDPOINT_CHOICE
from .load_estimate import LOAD_ESTIMATE
from .output_length import OUTPUT_LENGTH
from .preemption import PREEMPTION
from .prefix_affinity import CacheEvent, PrefixIndex, hash_prompt
from .queue_order import QUEUE_ORDER
from .registry import unknown_policy
from .retries import RETRIES
from .team_fairness import TEAM_FAIRNESS

__all__ = ["POLICY_NAMES", "CacheEvent", "Policy", "build_policy", "hash_prompt"]

POLICY_NAMES = ["default", "fifo_round_robin", "least_outstanding"]


class Policy(msgspec.Struct, kw_only=True, eq=False):
    """One variant per decision; `prefixes` is also updated by engine cache events.

    The dispatcher consults `retries` for retries and hedged requests.
    """

    name: str
    admission: object
    queue_order: object
    team_fairness: object
    endpoint_choice: object
    preemption: object
    output_length: object
    load_estimate: object
    retries: object
    prefixes: PrefixIndex


def build_policy(name: str, *, zone: str) -> Policy:
    """Builds the policy named in the settings; raises `SettingsError` if unknown.

    >>> build_policy("least_outstanding", zone="tunis-a").name
    'least_outstanding'
    """
    if name not in POLICY_NAMES:
        raise unknown_policy(name, POLICY_NAMES)
    prefixes = PrefixIndex()
    return Policy(
        name=name,
        admission=ADMISSION.get(name)(),
        queue_order=QUEUE_ORDER.get(name)(),
        team_fairness=TEAM_FAIRNESS.get(name)(),
        endpoint_choice=ENDPOINT_CHOICE.get(name)(zone=zone, prefixes=prefixes),
        preemption=PREEMPTION.get(name)(),
        output_length=OUTPUT_LENGTH.get(name)(),
        load_estimate=LOAD_ESTIMATE.get(name)(),
        retries=RETRIES.get(name)(),
        prefixes=prefixes,
    )
