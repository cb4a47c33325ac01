"""Gauges that compare what is known of the engines' load with what is reported."""

from ..state.engine_load_table import EngineLoadTable
from ..state.gateway_metrics import GatewayMetrics
from .gateway_peers import GatewayPeers
from .policy.shared_retry_budget import SharedRetryBudget


def register_load_metrics(
    metrics: GatewayMetrics,
    *,
    load_table: EngineLoadTable,
    peers: GatewayPeers,
    budget: SharedRetryBudget,
) -> None:
    """Registers the gauges of load, its age, speeds and denied retries."""
    errors = load_table.reply_errors
    gauges = {
        # Replies of engines' owners, and pending tokens that the owner knew of and this
        # instance did not, or the other way round.
        "engine_load_replies_total": lambda: errors.replies,
        "engine_load_missed_tokens_total": lambda: errors.missed_tokens,
        "engine_load_excess_tokens_total": lambda: errors.excess_tokens,
        "engine_load_age_seconds": lambda: round(peers.oldest_near_report_s(), 3),
        "engines_off_speed": lambda: sum(map(len, load_table.speeds.dump().values())),
        "retries_denied_total": lambda: budget.denied,
    }
    for name, read in gauges.items():
        metrics.register_gauge(name, read)
